"""Initial state of a new group."""

import typing

from limpetroute.agreement import member
from limpetroute.agreement import membership as membership_module
from limpetroute.agreement import saved_state
from limpetroute.agreement import snapshot as snapshot_module


def initial_state(
    replicas: typing.Mapping[str, str],
) -> saved_state.SavedState:
    """Return the state that each replica of a new group starts from.

    Parameters
    ----------
    replicas : mapping of str to str
        Identity of each host's replica, by host.
    """
    members = tuple(
        member.Member(replica_id=replica_id, host_id=host_id)
        for host_id, replica_id in sorted(replicas.items())
    )
    first = snapshot_module.Snapshot(
        membership=membership_module.Membership(members=members)
    )
    return saved_state.SavedState(snapshot=first)
