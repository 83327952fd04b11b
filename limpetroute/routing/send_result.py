"""How one send to a runner ended."""

import enum


class SendResult(enum.StrEnum):
    """How one send to a runner ended.

    ``NOT_SENT`` and ``REFUSED`` are the only two after which it is
    certain that the request did not run and will not: no byte left this
    host, or the runner itself says so.
    """

    NOT_SENT = 'not_sent'
    REFUSED = 'refused'
    FAILED = 'failed'
    BROKEN = 'broken'
    TIMED_OUT = 'timed_out'
    ANSWERED = 'answered'

    @property
    def surely_not_run(self) -> bool:
        """Whether the request did not run and will not."""
        return self in (SendResult.NOT_SENT, SendResult.REFUSED)
