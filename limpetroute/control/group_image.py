"""What the disk holds of one group."""

import dataclasses

from limpetroute.agreement import effects
from limpetroute.agreement import entry as entry_module
from limpetroute.agreement import saved_state
from limpetroute.agreement import snapshot as snapshot_module


@dataclasses.dataclass(kw_only=True, slots=True)
class GroupImage:
    """What the disk holds of one group.

    ``snapshot`` may be None for a marker whose file is not read yet.
    """

    term: int = 0
    voted_for: str = ''
    base_index: int = 0
    base_term: int = 0
    entries: list[entry_module.Entry] = dataclasses.field(default_factory=list)

    def apply_vote(self, term: int, voted_for: str) -> None:
        """Take a vote."""
        self.term = term
        self.voted_for = voted_for

    def apply_entries(self, entries: tuple[entry_module.Entry, ...]) -> None:
        """Take entries, which replace all from the first one's on."""
        place = entries[0].index - self.base_index - 1
        if not 0 <= place <= len(self.entries):
            raise ValueError(
                f'entry {entries[0].index} does not follow '
                f'{self.base_index + len(self.entries)}'
            )
        del self.entries[place:]
        self.entries.extend(entries)

    def apply_base(self, index: int, term: int, keeps_log: bool) -> None:
        """Take a snapshot's place in the log."""
        if keeps_log:
            del self.entries[: index - self.base_index]
        else:
            self.entries.clear()
        self.base_index = index
        self.base_term = term

    def apply(self, write: effects.Write) -> None:
        """Take a write as the replica asked for it."""
        match write:
            case effects.SaveVote():
                self.apply_vote(write.term, write.voted_for)
            case effects.SaveEntries():
                self.apply_entries(write.entries)
            case effects.SaveSnapshot():
                at = write.snapshot
                self.apply_base(at.last_index, at.last_term, write.keeps_log)

    def catch_up(self, snapshot: snapshot_module.Snapshot) -> None:
        """Take a snapshot file that is newer than the journal.

        A crash between the two leaves it so. Entries after it are its
        own continuation only if the journal has its last entry too.
        """
        place = snapshot.last_index - self.base_index - 1
        keeps = (
            0 <= place < len(self.entries)
            and self.entries[place].term == snapshot.last_term
        )
        self.apply_base(snapshot.last_index, snapshot.last_term, keeps)

    def saved(
        self, snapshot: snapshot_module.Snapshot
    ) -> saved_state.SavedState:
        """Return what a replica starts from."""
        return saved_state.SavedState(
            term=self.term,
            voted_for=self.voted_for,
            snapshot=snapshot,
            entries=tuple(self.entries),
        )
