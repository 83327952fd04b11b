"""State at one place of the log."""

import dataclasses

from limpetroute.agreement import membership as membership_module


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Snapshot:
    """State at one place of the log, in place of all before it.

    Parameters
    ----------
    last_index, last_term : int
        The last entry it stands for; 0 for a group just founded.
    membership : Membership
        The replicas as of that entry.
    data : bytes
        The embedding program's state.
    """

    last_index: int = 0
    last_term: int = 0
    membership: membership_module.Membership = membership_module.Membership()
    data: bytes = b''
