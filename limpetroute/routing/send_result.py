"""How one send to a runner ended."""

import enum


class SendResult(enum.StrEnum):
    """How one send to a runner ended.

    After ``NOT_SENT``, ``REFUSED`` and ``MISDIRECTED`` alone it is
    certain that the request did not run and will not: no byte left this
    host, or the runner itself says so. ``MISDIRECTED`` says besides
    that the runner that was meant is gone from its address.
    """

    NOT_SENT = 'not_sent'
    REFUSED = 'refused'
    MISDIRECTED = 'misdirected'
    FAILED = 'failed'
    BROKEN = 'broken'
    TIMED_OUT = 'timed_out'
    ANSWERED = 'answered'

    @property
    def is_known_not_run(self) -> bool:
        """Whether the request did not run and will not."""
        return self in (
            SendResult.NOT_SENT,
            SendResult.REFUSED,
            SendResult.MISDIRECTED,
        )
