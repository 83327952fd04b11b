"""How one send to a runner ended."""

import enum


class SendResult(enum.StrEnum):
    """How one send to a runner ended.

    Only after ``NOT_SENT``, ``WITHHELD``, ``REFUSED``, ``SHED`` and
    ``MISDIRECTED`` is it certain that the request did not run and will not
    run: no byte left this host, or the runner reported it.

    After ``WITHHELD`` this host sent nothing, because the runner accepts no
    requests from it for now. ``SHED`` is a refusal that asks this host to
    back off. ``MISDIRECTED`` also means that the intended runner is no
    longer at its address.
    """

    NOT_SENT = 'not_sent'
    WITHHELD = 'withheld'
    REFUSED = 'refused'
    SHED = 'shed'
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
            SendResult.WITHHELD,
            SendResult.REFUSED,
            SendResult.SHED,
            SendResult.MISDIRECTED,
        )

    @property
    def reached_runner(self) -> bool:
        """Whether the request may have reached a runner."""
        return self not in (SendResult.NOT_SENT, SendResult.WITHHELD)

    @property
    def is_backoff(self) -> bool:
        """Whether the runner accepts no requests from this host for now.

        This says nothing about the runner's health or its load.
        """
        return self in (SendResult.WITHHELD, SendResult.SHED)

    @property
    def keeps_kv_cache(self) -> bool:
        """Whether a KV cache that the request names is still unused.

        After ``REFUSED`` it is not known: the cache may have expired.
        """
        return self.is_known_not_run and self is not SendResult.REFUSED
