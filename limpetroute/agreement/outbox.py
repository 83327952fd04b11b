"""Messages that wait for the disk."""

import collections

from limpetroute.agreement import messages


class Outbox:
    """Holds messages until the writes they rest on are synced.

    A vote or an acknowledgement that left before its write was synced
    is forgotten in a crash while others count on it: two leaders of
    one term, or an acknowledged entry gone.
    """

    __slots__ = ('_held', 'ready')

    def __init__(self) -> None:
        self.ready: list[messages.Envelope] = []
        self._held: collections.deque[tuple[int, messages.Envelope]] = (
            collections.deque()
        )

    def __repr__(self) -> str:
        return f'{type(self).__name__}(held={len(self._held)!r})'

    def hold(self, write_id: int, envelope: messages.Envelope) -> None:
        """Keep a message until ``write_id`` is synced."""
        self._held.append((write_id, envelope))

    def release(self, write_id: int) -> None:
        """Make ready what rests on writes up to ``write_id``."""
        while self._held and self._held[0][0] <= write_id:
            self.ready.append(self._held.popleft()[1])

    def drop(self) -> None:
        """Forget everything, held or ready."""
        self._held.clear()
        self.ready.clear()

    def take(self) -> tuple[messages.Envelope, ...]:
        """Return and forget what is ready."""
        ready = tuple(self.ready)
        self.ready.clear()
        return ready
