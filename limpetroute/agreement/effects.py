"""Effects that a replica requests from the program that embeds it."""

import dataclasses

from limpetroute.agreement import entry
from limpetroute.agreement import messages
from limpetroute.agreement import snapshot as snapshot_module


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SaveVote:
    """Write the term and the vote to disk."""

    term: int
    voted_for: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SaveEntries:
    """Write entries; they replace all entries from the first index on."""

    entries: tuple[entry.Entry, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SaveSnapshot:
    """Write a snapshot and drop the entries up to it.

    ``keeps_log`` is true if the entries after it are kept.
    """

    snapshot: snapshot_module.Snapshot
    keeps_log: bool


Write = SaveVote | SaveEntries | SaveSnapshot


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Appended:
    """A proposal is in the leader's log, but not committed yet."""

    first_index: int
    term: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Refused:
    """A proposal was refused; nothing of it was written to any log."""

    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Effects:
    """Effects of one step.

    Parameters
    ----------
    write_id : int or None
        Number of ``writes``, to be passed back in `Persisted` once they
        and all earlier writes are synced. The writes of several steps
        may share one sync (group commit).
    writes : tuple of Write
        Writes to carry out in order.
    sends : tuple of Envelope
        Messages to send now. Messages that depend on a write are not
        included: the step for its `Persisted` event returns them.
    restored : Snapshot or None
        State that replaces the program's, before ``committed``.
    committed : tuple of Entry
        Entries to apply in order, each exactly once per run.
    proposal : Appended, Refused or None
        Outcome of a proposal or membership change.
    """

    write_id: int | None = None
    writes: tuple[Write, ...] = ()
    sends: tuple[messages.Envelope, ...] = ()
    restored: snapshot_module.Snapshot | None = None
    committed: tuple[entry.Entry, ...] = ()
    proposal: Appended | Refused | None = None
