"""Replaces the replica of a host that got a new disk."""

from limpetroute.agreement import events
from limpetroute.agreement import membership as membership_module


def next_change(
    membership: membership_module.Membership,
    *,
    host_id: str,
    replica_id: str,
) -> events.AddLearner | events.RemoveMember | None:
    """Return the next membership change for a host's new replica.

    The former replica is removed first; then the new one is added as a
    learner, and the leader promotes it. In the other order a group of
    three would have four voters, one of them lost and one empty, and
    the next failure would stop all commits for good.

    Parameters
    ----------
    membership : Membership
        The leader's membership.
    host_id, replica_id : str
        The host and the identity of its present disk.

    Returns
    -------
    AddLearner, RemoveMember or None
        None if the replica is a member already.
    """
    if membership.get(replica_id) is not None:
        return None
    former = membership.of_host(host_id)
    if former is not None:
        return events.RemoveMember(replica_id=former.replica_id)
    return events.AddLearner(replica_id=replica_id, host_id=host_id)
