"""How one send to a runner ended."""

import enum


class SendResult(enum.StrEnum):
    """How one send to a runner ended.

    Only after ``NOT_SENT``, ``REFUSED`` and ``MISDIRECTED`` is it certain
    that the request did not run and will not run: no byte left this host,
    or the runner reported it. ``MISDIRECTED`` also means that the intended
    runner is no longer at its address.
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
        """Whether the request certainly did not run and will not run."""
        return self in (
            SendResult.NOT_SENT,
            SendResult.REFUSED,
            SendResult.MISDIRECTED,
        )
