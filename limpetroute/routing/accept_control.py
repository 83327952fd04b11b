"""Decides how many new connections a host accepts."""

import math

# Connections accepted in one turn of the event loop. All accepted requests
# make progress in each turn, so this bounds how long a turn takes.
MAX_SHARE = 8
# A host that has not emptied its queue of new connections for this long gets
# more than it can serve. Shorter bursts are served whole.
MAX_QUEUED_S = 0.2
# Time without a connection too many after which an overload has ended.
CALM_S = 0.5
# An answer needs about ten turns, and callers expect one within 0.4 s.
SLOW_TURN_S = 0.025


class AcceptControl:
    """Decides how many new connections a host accepts.

    A host that accepts all connections while it gets more than it can serve
    works on all requests at once until none is answered in time. It accepts
    a few connections in each turn of the event loop instead. If that never
    empties the queue of new connections, the others have to be closed
    unread: their callers can go to another host at once.

    The state depends only on the sequence of calls.
    """

    __slots__ = ('_overloaded_until_s', '_queued_since_s', '_share')

    def __init__(self) -> None:
        self._share = MAX_SHARE
        self._queued_since_s = math.inf
        self._overloaded_until_s = -math.inf

    def __repr__(self) -> str:
        return f'{type(self).__name__}(share={self._share!r})'

    @property
    def share(self) -> int:
        """Number of connections to accept in this turn."""
        return self._share

    def note_turn(self, turn_s: float) -> None:
        """Adjust the share to the time that a turn of the loop took.

        Requests on open connections are served before new connections.
        """
        if turn_s > SLOW_TURN_S:
            self._share = max(1, self._share // 2)
        elif self._share < MAX_SHARE:
            self._share += 1

    def must_close(self, *, is_empty: bool, now_s: float) -> bool:
        """Return whether to close the connections that are still queued.

        Parameters
        ----------
        is_empty : bool
            Whether the queue is empty once the share was accepted.
        now_s : float
            A monotonic clock, in seconds.
        """
        if is_empty:
            self._queued_since_s = math.inf
            return False
        self._queued_since_s = min(self._queued_since_s, now_s)
        if (
            now_s < self._queued_since_s + MAX_QUEUED_S
            and not self.is_overloaded(now_s)
        ):
            return False
        self._queued_since_s = math.inf
        self._overloaded_until_s = now_s + CALM_S
        return True

    def is_overloaded(self, now_s: float) -> bool:
        """Return whether connections had to be closed a short time ago."""
        return now_s < self._overloaded_until_s
