"""Tracks which part of the log is on disk."""

import collections


class WriteQueue:
    """Tracks writes until they are synced.

    Parameters
    ----------
    last_index : int
        Index of the last entry on disk at start.
    """

    __slots__ = ('_pending', 'issued', 'synced', 'synced_index')

    def __init__(self, *, last_index: int) -> None:
        self.issued = 0
        self.synced = 0
        self.synced_index = last_index
        self._pending: collections.deque[tuple[int, int]] = collections.deque()

    def __repr__(self) -> str:
        return (
            f'{type(self).__name__}(issued={self.issued!r}, '
            f'synced={self.synced!r})'
        )

    def issue(self) -> None:
        """Count a new write."""
        self.issued += 1

    def record_log_end(self, last_index: int) -> None:
        """Record the log's last index after the newest write."""
        self._pending.append((self.issued, last_index))

    def truncate(self, index: int) -> None:
        """Record that the log was truncated at ``index``.

        The sync of an earlier write must not count entries that a newer
        leader has replaced since.
        """
        last = index - 1
        self.synced_index = min(self.synced_index, last)
        self._pending = collections.deque(
            (number, min(end, last)) for number, end in self._pending
        )

    def mark_synced(self, write_id: int) -> None:
        """Record that all writes up to ``write_id`` are synced."""
        self.synced = max(self.synced, write_id)
        while self._pending and self._pending[0][0] <= write_id:
            self.synced_index = self._pending.popleft()[1]
