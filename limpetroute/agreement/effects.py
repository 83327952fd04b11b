"""What a replica asks of the program that embeds it."""

import dataclasses

from limpetroute.agreement import entry
from limpetroute.agreement import messages
from limpetroute.agreement import snapshot as snapshot_module


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SaveVote:
    """Write the term and the vote."""

    term: int
    voted_for: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SaveEntries:
    """Write entries; they replace all from the first one's index on."""

    entries: tuple[entry.Entry, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SaveSnapshot:
    """Write a snapshot.

    ``keeps_log`` tells whether entries after it stay; all up to it go.
    """

    snapshot: snapshot_module.Snapshot
    keeps_log: bool


Write = SaveVote | SaveEntries | SaveSnapshot


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Appended:
    """A proposal is in the leader's log; it counts once committed."""

    first_index: int
    term: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Refused:
    """A proposal was not taken: nothing of it is written anywhere."""

    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Effects:
    """What one step asks for.

    Parameters
    ----------
    write_id : int or None
        Number of ``writes``, to be given back in `Persisted` once they
        and all earlier ones are synced. Several steps' writes may share
        one sync (group commit).
    writes : tuple of Write
        To be written in order.
    sends : tuple of Envelope
        To be sent now. Messages that rest on a write are not here: a
        later step releases them, when it is told `Persisted`.
    restored : Snapshot or None
        State that replaces the program's, before ``committed``.
    committed : tuple of Entry
        Entries to apply, in order, each exactly once for a run.
    proposal : Appended, Refused or None
        What became of a proposal or membership change.
    """

    write_id: int | None = None
    writes: tuple[Write, ...] = ()
    sends: tuple[messages.Envelope, ...] = ()
    restored: snapshot_module.Snapshot | None = None
    committed: tuple[entry.Entry, ...] = ()
    proposal: Appended | Refused | None = None
