"""A bound on memory that many connections or requests share."""

import contextlib
import typing

# Frees at least so many bytes, if it can.
Reclaim = typing.Callable[[int], None]


class BufferLease:
    """The memory that one user has of a budget.

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
            self._budget.free_bytes,
        )

    def make_room(self, count: int) -> bool:
        """Return whether so many bytes are free, and free some if not."""
        if count > self._budget.max_body_bytes - self.used_bytes:
            return False
        return self._budget.make_room(count)

    def take(self, count: int) -> bool:
        """Use more bytes; return False if that is more than allowed."""
        if not self.make_room(count):
            return False
        self._budget.add(count)
        self.used_bytes += count
        return True

    def give_back(self, count: int) -> None:
        """Return some bytes to the budget."""
        self._budget.add(-count)
        self.used_bytes -= count

    def release(self) -> None:
        """Return all bytes to the budget."""
        self.give_back(self.used_bytes)


class BufferBudget:
    """A bound on memory that many connections or requests share.

    Parameters
    ----------
    max_body_bytes : int
        Maximum size of one lease.
    max_total_bytes : int
        Maximum size of all leases together.
    parent : BufferBudget or None
        Budget that the bytes count for as well.

    Attributes
    ----------
    reclaimers : list of callable
        Called with the number of missing bytes when the budget is used up.
    """

    __slots__ = (
        'max_body_bytes',
        'max_total_bytes',
        'parent',
        'reclaimers',
        'used_bytes',
    )

    def __init__(
        self,
        *,
        max_body_bytes: int,
        max_total_bytes: int,
        parent: 'BufferBudget | None' = None,
    ) -> None:
        self.max_body_bytes = max_body_bytes
        self.max_total_bytes = max_total_bytes
        self.parent = parent
        self.reclaimers: list[Reclaim] = []
        self.used_bytes = 0

    def __repr__(self) -> str:
        return f'{type(self).__name__}(used_bytes={self.used_bytes!r})'

    @property
    def free_bytes(self) -> int:
        """Bytes that are free here and in the parents."""
        free = self.max_total_bytes - self.used_bytes
        if self.parent is not None:
            free = min(free, self.parent.free_bytes)
        return free

    def make_room(self, count: int) -> bool:
        """Return whether so many bytes are free, and free some if not."""
        if count > self.max_total_bytes:
            return False
        for reclaim in self.reclaimers:
            missing = count - (self.max_total_bytes - self.used_bytes)
            if missing <= 0:
                break
            reclaim(missing)
        if count > self.max_total_bytes - self.used_bytes:
            return False
        return self.parent is None or self.parent.make_room(count)

    def add(self, count: int) -> None:
        """Change the number of used bytes, also in the parents."""
        self.used_bytes += count
        if self.parent is not None:
            self.parent.add(count)

    @contextlib.contextmanager
    def lease(self) -> typing.Iterator[BufferLease]:
        """Lend memory to one user for the duration of a block."""
        lease = BufferLease(budget=self)
        try:
            yield lease
        finally:
            lease.release()
