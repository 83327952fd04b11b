"""Keeps the number of voters while hosts join, leave or lose disks."""

import typing

from limpetroute.agreement import events
from limpetroute.agreement import replica as replica_module

# A host that is frozen or partitioned for some seconds returns with its
# disk, and replacing it at once would cost a copy of the state each time.
# After this time without contact, a learner that has caught up replaces
# it.
REPLACE_AFTER_S = 6.0


class MembershipReconciler:
    """Keeps the number of voters while hosts join, leave or lose disks.

    The leader makes one membership change at a time. It removes a
    member whose host is present with another disk, because its own disk
    is lost, and a learner that was silent for `REPLACE_AFTER_S`. It
    removes a silent voter only if a learner that has caught up can
    replace it and the group has all wanted voters. A removal without a
    replacement would only reduce the losses that the group tolerates.

    Parameters
    ----------
    replace_after_s : float
        Silence after which a member is replaced.
    """

    def __init__(self, *, replace_after_s: float = REPLACE_AFTER_S) -> None:
        self._replace_after_s = replace_after_s
        self._last_seen_s: dict[str, float] = {}

    def __repr__(self) -> str:
        return f'{type(self).__name__}(seen={len(self._last_seen_s)!r})'

    def next_change(
        self,
        *,
        replica: replica_module.Replica,
        present: typing.Mapping[str, str],
        wanted_voters: int,
        now_s: float,
    ) -> events.AddLearner | events.RemoveMember | None:
        """Return the next membership change, if one is due.

        Parameters
        ----------
        replica : Replica
            This host's replica of the group.
        present : mapping of str to str
            Replica of each host that was in contact recently, by host.
        wanted_voters : int
            Number of voters that the group should have.
        now_s : float
            The replica's clock.
        """
        if replica.role is not replica_module.Role.LEADER:
            self._last_seen_s.clear()
            return None
        members = replica.membership.members
        for member in members:
            if present.get(member.host_id) == member.replica_id:
                self._last_seen_s[member.replica_id] = now_s
            self._last_seen_s.setdefault(member.replica_id, now_s)
        removed_id = self._member_of_lost_disk(replica, present)
        if removed_id is None:
            removed_id = self._silent_member(replica, wanted_voters, now_s)
        if removed_id is not None:
            return events.RemoveMember(replica_id=removed_id)
        for host_id, replica_id in sorted(present.items()):
            if replica.membership.get(replica_id) is not None:
                continue
            if replica.membership.of_host(host_id) is not None:
                continue
            return events.AddLearner(replica_id=replica_id, host_id=host_id)
        return None

    def _member_of_lost_disk(
        self,
        replica: replica_module.Replica,
        present: typing.Mapping[str, str],
    ) -> str | None:
        for member in replica.membership.members:
            if member.replica_id == replica.replica_id:
                continue
            present_id = present.get(member.host_id)
            if present_id is not None and present_id != member.replica_id:
                return member.replica_id
        return None

    def _silent_member(
        self,
        replica: replica_module.Replica,
        wanted_voters: int,
        now_s: float,
    ) -> str | None:
        voters = replica.membership.voters
        learners = [
            member.replica_id
            for member in replica.membership.members
            if not member.voter
        ]
        ready = any(replica.has_caught_up(learner) for learner in learners)
        for member in replica.membership.members:
            if member.replica_id == replica.replica_id:
                continue
            if (
                now_s - self._last_seen_s[member.replica_id]
                <= self._replace_after_s
            ):
                continue
            if not member.voter:
                return member.replica_id
            if ready and len(voters) >= wanted_voters:
                return member.replica_id
        return None
