"""How far a member has come, as its leader knows."""

import dataclasses
import math


@dataclasses.dataclass(kw_only=True, slots=True)
class Progress:
    """How far a member has come, as its leader knows.

    Parameters
    ----------
    next_index : int
        Next entry to send.
    match_index : int
        Last entry that it has on disk.
    acked_round_s : float
        Newest of the leader's send times that it has answered.
    snapshot_sent_s : float
        When it was last sent a snapshot.
    """

    next_index: int
    match_index: int = 0
    acked_round_s: float = -math.inf
    snapshot_sent_s: float = -math.inf
