"""Replicated log in memory, on top of a snapshot."""

import typing

from limpetroute.agreement import entry as entry_module
from limpetroute.agreement import membership as membership_module
from limpetroute.agreement import snapshot as snapshot_module


class Log:
    """Replicated log in memory, on top of a snapshot.

    Parameters
    ----------
    snapshot : Snapshot
        State that stands for all entries up to its last index.
    entries : iterable of Entry
        Entries after the snapshot, without gaps.
    """

    __slots__ = ('_entries', '_memberships', 'snapshot')

    def __init__(
        self,
        *,
        snapshot: snapshot_module.Snapshot,
        entries: typing.Iterable[entry_module.Entry] = (),
    ) -> None:
        self.snapshot = snapshot
        self._entries: list[entry_module.Entry] = []
        self._memberships: list[tuple[int, membership_module.Membership]] = []
        for entry in entries:
            self.append(entry)

    def __repr__(self) -> str:
        return (
            f'{type(self).__name__}(base={self.base_index!r}, '
            f'last={self.last_index!r})'
        )

    @property
    def base_index(self) -> int:
        """Last index that the snapshot covers."""
        return self.snapshot.last_index

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self.snapshot.last_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        if self._entries:
            return self._entries[-1].term
        return self.snapshot.last_term

    @property
    def membership(self) -> membership_module.Membership:
        """Newest membership; it takes effect when it is appended."""
        if self._memberships:
            return self._memberships[-1][1]
        return self.snapshot.membership

    @property
    def membership_index(self) -> int:
        """Index of the newest membership."""
        if self._memberships:
            return self._memberships[-1][0]
        return self.snapshot.last_index

    def membership_at(self, index: int) -> membership_module.Membership:
        """Return the membership as of an index."""
        membership_at_index = self.snapshot.membership
        for position, membership in self._memberships:
            if position <= index:
                membership_at_index = membership
        return membership_at_index

    def term_at(self, index: int) -> int | None:
        """Return the term at an index, or None if it is not in the log."""
        if index == self.base_index:
            return self.snapshot.last_term
        if not self.base_index < index <= self.last_index:
            return None
        return self._entries[index - self.base_index - 1].term

    def last_index_before_term(self, index: int, term: int, floor: int) -> int:
        """Return the last index before the entries of ``term``.

        The search goes back from ``index`` and not below ``floor``. A
        leader that skips a whole term at a time finds the last common
        entry in few messages.
        """
        while index > floor and self.term_at(index) == term:
            index -= 1
        return index

    def first_new(self, entries: tuple[entry_module.Entry, ...]) -> int | None:
        """Return the position of the first entry not in the log."""
        for position, entry in enumerate(entries):
            if entry.index <= self.base_index:
                continue
            if self.term_at(entry.index) != entry.term:
                return position
        return None

    def between(
        self, first_index: int, last_index: int
    ) -> tuple[entry_module.Entry, ...]:
        """Return the entries from one index to another, inclusive."""
        start = first_index - self.base_index - 1
        return tuple(self._entries[start : last_index - self.base_index])

    def append(self, entry: entry_module.Entry) -> None:
        """Append the next entry.

        Raises
        ------
        ValueError
            If its index is not the next.
        """
        if entry.index != self.last_index + 1:
            raise ValueError(
                f'index {entry.index!r} does not follow {self.last_index!r}'
            )
        self._entries.append(entry)
        if entry.kind is entry_module.EntryKind.MEMBERS:
            decoded = membership_module.Membership.decode(entry.data)
            self._memberships.append((entry.index, decoded))

    def truncate(self, index: int) -> None:
        """Drop the entry at ``index`` and all after it."""
        del self._entries[max(0, index - self.base_index - 1) :]
        self._memberships = [
            pair for pair in self._memberships if pair[0] < index
        ]

    def compact(self, snapshot: snapshot_module.Snapshot) -> None:
        """Replace the entries that a snapshot covers by the snapshot."""
        del self._entries[: snapshot.last_index - self.base_index]
        self._memberships = [
            pair for pair in self._memberships if pair[0] > snapshot.last_index
        ]
        self.snapshot = snapshot
