"""Replication progress of a member, as its leader tracks it."""

import dataclasses
import math


@dataclasses.dataclass(kw_only=True, slots=True)
class Progress:
    """Replication progress of a member, as its leader tracks it.

    Parameters
    ----------
    next_index : int
        Next entry to send.
    match_index : int
        Last entry that the member has on disk.
    acked_round_s : float
        Send time of the newest message that the member has answered.
    snapshot_sent_s : float
        Time at which the member was last sent a snapshot.
    """

    next_index: int
    match_index: int = 0
    acked_round_s: float = -math.inf
    snapshot_sent_s: float = -math.inf
