"""Which part of the log is on disk."""

import collections


class WriteQueue:
    """Follows writes until they are synced.

    Parameters
    ----------
    last_index : int
        Last entry found on disk at start.
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
        """Count one more write."""
        self.issued += 1

    def record_log_end(self, last_index: int) -> None:
        """Note where the log ends after the newest write."""
        self._pending.append((self.issued, last_index))

    def truncate(self, index: int) -> None:
        """Note that the log was cut before ``index``.

        A sync of an earlier write must not count entries that a newer
        leader has replaced since.
        """
        last = index - 1
        self.synced_index = min(self.synced_index, last)
        self._pending = collections.deque(
            (number, min(end, last)) for number, end in self._pending
        )

    def mark_synced(self, write_id: int) -> None:
        """Note that writes up to ``write_id`` are synced."""
        self.synced = max(self.synced, write_id)
        while self._pending and self._pending[0][0] <= write_id:
            self.synced_index = self._pending.popleft()[1]
