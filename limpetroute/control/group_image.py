"""The on-disk state of one group, kept in memory."""

import dataclasses

from limpetroute.agreement import effects
from limpetroute.agreement import entry as entry_module
from limpetroute.agreement import saved_state
from limpetroute.agreement import snapshot as snapshot_module


@dataclasses.dataclass(kw_only=True, slots=True)
class GroupImage:
    """The on-disk state of one group, without its snapshot's content.

    ``base_index`` and ``base_term`` are those of the snapshot's last entry.
    """

    term: int = 0
    voted_for: str = ''
    base_index: int = 0
    base_term: int = 0
    entries: list[entry_module.Entry] = dataclasses.field(default_factory=list)

    def apply_vote(self, term: int, voted_for: str) -> None:
        """Apply a vote."""
        self.term = term
        self.voted_for = voted_for

    def apply_entries(self, entries: tuple[entry_module.Entry, ...]) -> None:
        """Append entries, replacing any from the first index on."""
        position = entries[0].index - self.base_index - 1
        if not 0 <= position <= len(self.entries):
            raise ValueError(
                f'entry {entries[0].index} does not follow '
                f'{self.base_index + len(self.entries)}'
            )
        del self.entries[position:]
        self.entries.extend(entries)

    def apply_base(self, index: int, term: int, keeps_log: bool) -> None:
        """Apply a snapshot's index and term."""
        if keeps_log:
            del self.entries[: index - self.base_index]
        else:
            self.entries.clear()
        self.base_index = index
        self.base_term = term

    def apply(self, write: effects.Write) -> None:
        """Apply a write that the replica requested."""
        match write:
            case effects.SaveVote():
                self.apply_vote(write.term, write.voted_for)
            case effects.SaveEntries():
                self.apply_entries(write.entries)
            case effects.SaveSnapshot():
                snapshot = write.snapshot
                self.apply_base(
                    snapshot.last_index, snapshot.last_term, write.keeps_log
                )

    def catch_up(self, snapshot: snapshot_module.Snapshot) -> None:
        """Apply a snapshot file that is newer than the journal.

        A crash between the two writes leaves them in this state. Entries
        after the snapshot are kept only if the journal also contains the
        snapshot's last entry; otherwise they belong to another log.
        """
        position = snapshot.last_index - self.base_index - 1
        keeps_log = (
            0 <= position < len(self.entries)
            and self.entries[position].term == snapshot.last_term
        )
        self.apply_base(snapshot.last_index, snapshot.last_term, keeps_log)

    def saved(
        self, snapshot: snapshot_module.Snapshot
    ) -> saved_state.SavedState:
        """Return the state that a replica starts from."""
        return saved_state.SavedState(
            term=self.term,
            voted_for=self.voted_for,
            snapshot=snapshot,
            entries=tuple(self.entries),
        )
