"""What a replica finds on its disk at start."""

import dataclasses

from limpetroute.agreement import entry
from limpetroute.agreement import snapshot as snapshot_module


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SavedState:
    """What a replica finds on its disk at start.

    Parameters
    ----------
    term : int
        Highest term it has taken part in.
    voted_for : str
        Whom it voted for in that term, or nothing.
    snapshot : Snapshot
        Newest snapshot; a founding membership is a snapshot at 0.
    entries : tuple of Entry
        The log after the snapshot.
    """

    term: int = 0
    voted_for: str = ''
    snapshot: snapshot_module.Snapshot = snapshot_module.Snapshot()
    entries: tuple[entry.Entry, ...] = ()
