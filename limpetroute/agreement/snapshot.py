"""Snapshot of the state at one index of the log."""

import dataclasses

from limpetroute.agreement import membership as membership_module


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Snapshot:
    """State at one index of the log; it replaces all entries up to it.

    Parameters
    ----------
    last_index, last_term : int
        Index and term of the last entry it covers; 0 in a new group.
    membership : Membership
        The replicas as of that entry.
    data : bytes
        The embedding program's state.
    """

    last_index: int = 0
    last_term: int = 0
    membership: membership_module.Membership = membership_module.Membership()
    data: bytes = b''
