"""The next step of bringing a host's new replica in."""

from limpetroute.agreement import events
from limpetroute.agreement import membership as membership_module


def next_change(
    membership: membership_module.Membership,
    *,
    host_id: str,
    replica_id: str,
) -> events.AddLearner | events.RemoveMember | None:
    """Return the next change that a host's new identity asks for.

    The former replica goes first, then the new one comes as a learner,
    and the leader promotes it. The other order would count four voters
    in place of three, with one of them gone and one empty: the next
    failure would end all commits for good.

    Parameters
    ----------
    membership : Membership
        The leader's membership.
    host_id, replica_id : str
        The host and the identity of the disk it has now.
    """
    if membership.get(replica_id) is not None:
        return None
    former = membership.of_host(host_id)
    if former is not None:
        return events.RemoveMember(replica_id=former.replica_id)
    return events.AddLearner(replica_id=replica_id, host_id=host_id)
