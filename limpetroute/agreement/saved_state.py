"""Saved state that a replica loads at start."""

import dataclasses

from limpetroute.agreement import entry
from limpetroute.agreement import snapshot as snapshot_module


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SavedState:
    """Saved state that a replica loads at start.

    Parameters
    ----------
    term : int
        Highest term that the replica has seen.
    voted_for : str
        Replica it voted for in that term, or the empty string.
    snapshot : Snapshot
        Newest snapshot; the initial membership is a snapshot at 0.
    entries : tuple of Entry
        The log after the snapshot.
    """

    term: int = 0
    voted_for: str = ''
    snapshot: snapshot_module.Snapshot = snapshot_module.Snapshot()
    entries: tuple[entry.Entry, ...] = ()
