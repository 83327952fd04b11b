"""A bound on the memory of bodies that are buffered."""

import contextlib
import typing


class BufferLease:
    """The memory that one body uses of a budget.

    Parameters
    ----------
    budget : BufferBudget
        The budget that it belongs to.
    """

    __slots__ = ('_budget', 'used_bytes')

    def __init__(self, *, budget: 'BufferBudget') -> None:
        self._budget = budget
        self.used_bytes = 0

    def __repr__(self) -> str:
        return f'{type(self).__name__}(used_bytes={self.used_bytes!r})'

    @property
    def free_bytes(self) -> int:
        """Bytes that it may still use."""
        return min(
            self._budget.max_body_bytes - self.used_bytes,
            self._budget.max_total_bytes - self._budget.used_bytes,
        )

    def take(self, count: int) -> bool:
        """Use more bytes; return False if that is more than allowed."""
        if count > self.free_bytes:
            return False
        self._budget.used_bytes += count
        self.used_bytes += count
        return True

    def release(self) -> None:
        """Return all bytes to the budget."""
        self._budget.used_bytes -= self.used_bytes
        self.used_bytes = 0


class BufferBudget:
    """A bound on the memory of bodies that are buffered.

    Parameters
    ----------
    max_body_bytes : int
        Maximum size of one body.
    max_total_bytes : int
        Maximum size of all bodies together.
    """

    __slots__ = ('max_body_bytes', 'max_total_bytes', 'used_bytes')

    def __init__(self, *, max_body_bytes: int, max_total_bytes: int) -> None:
        self.max_body_bytes = max_body_bytes
        self.max_total_bytes = max_total_bytes
        self.used_bytes = 0

    def __repr__(self) -> str:
        return f'{type(self).__name__}(used_bytes={self.used_bytes!r})'

    @contextlib.contextmanager
    def lease(self) -> typing.Iterator[BufferLease]:
        """Lend memory to one body for the duration of a block."""
        lease = BufferLease(budget=self)
        try:
            yield lease
        finally:
            lease.release()
