"""Bounds the time at which a request may reach its server."""

import dataclasses
import typing


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DeliveryBound:
    """Bounds the time at which a request may reach its server.

    A connection without a complete response is reset when it is closed.
    Otherwise, the system would go on sending what it holds.

    Parameters
    ----------
    may_write : callable
        Called right before the first byte is written, in the same step of
        the event loop. If it returns False, nothing is sent.
    unacknowledged_s : float
        Time after which the system ends a connection on which the server
        has not acknowledged what was sent, even while this process is
        stopped.
    """

    may_write: typing.Callable[[], bool]
    unacknowledged_s: float
