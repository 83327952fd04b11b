"""Queue of messages that wait for a disk write."""

import collections

from limpetroute.agreement import messages


class Outbox:
    """Holds messages until the writes they depend on are synced.

    If a vote or an acknowledgement were sent before its write is
    synced, a crash could undo it while other replicas count on it. Two
    leaders of one term or a lost acknowledged entry would follow.
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
        """Hold a message until ``write_id`` is synced."""
        self._held.append((write_id, envelope))

    def release(self, write_id: int) -> None:
        """Make the messages that depend on writes up to this one ready."""
        while self._held and self._held[0][0] <= write_id:
            self.ready.append(self._held.popleft()[1])

    def drop(self) -> None:
        """Discard all messages, held or ready."""
        self._held.clear()
        self.ready.clear()

    def take(self) -> tuple[messages.Envelope, ...]:
        """Remove and return the ready messages."""
        if not self.ready:
            return ()
        ready = tuple(self.ready)
        self.ready.clear()
        return ready
