"""Keeps a group at its size while hosts come, go and lose disks."""

import typing

from limpetroute.agreement import events
from limpetroute.agreement import replica as replica_module

# A host that is frozen or cut off for some seconds comes back with its
# disk; taking its place at once would cost a copy of the state each
# time. After this long without a word, a newcomer that has caught up
# takes it.
GONE_S = 6.0


class MembershipReconciler:
    """Keeps a group at its size while hosts come, go and lose disks.

    One change at a time, and a voter is removed only for one of three
    reasons: its host is there with another disk, so this one is lost;
    it was silent for `GONE_S` and a caught-up learner can take its
    place; or it is one too many. A removal with nobody to take the
    place would only make the group bear fewer losses.

    Parameters
    ----------
    gone_s : float
        Silence after which a newcomer takes a host's place.
    """

    def __init__(self, *, gone_s: float = GONE_S) -> None:
        self._gone_s = gone_s
        self._seen_s: dict[str, float] = {}

    def __repr__(self) -> str:
        return f'{type(self).__name__}(seen={len(self._seen_s)!r})'

    def next_change(
        self,
        *,
        replica: replica_module.Replica,
        present: typing.Mapping[str, str],
        wanted_voters: int,
        now_s: float,
    ) -> events.AddLearner | events.RemoveMember | None:
        """Return the next change of the membership, if one is due.

        Parameters
        ----------
        replica : Replica
            This host's replica of the group.
        present : mapping of str to str
            The replica of each host heard of late, by host.
        wanted_voters : int
            Voters that the group should have.
        now_s : float
            The replica's clock.
        """
        if replica.role is not replica_module.Role.LEADER:
            self._seen_s.clear()
            return None
        members = replica.membership.members
        for one in members:
            if present.get(one.host_id) == one.replica_id:
                self._seen_s[one.replica_id] = now_s
            self._seen_s.setdefault(one.replica_id, now_s)
        gone = self._lost_disk(replica, present)
        if gone is None:
            gone = self._silent(replica, wanted_voters, now_s)
        if gone is not None:
            return events.RemoveMember(replica_id=gone)
        for host_id, replica_id in sorted(present.items()):
            if replica.membership.get(replica_id) is not None:
                continue
            if replica.membership.of_host(host_id) is not None:
                continue
            return events.AddLearner(replica_id=replica_id, host_id=host_id)
        return None

    def _lost_disk(
        self,
        replica: replica_module.Replica,
        present: typing.Mapping[str, str],
    ) -> str | None:
        for one in replica.membership.members:
            if one.replica_id == replica.replica_id:
                continue
            now_there = present.get(one.host_id)
            if now_there is not None and now_there != one.replica_id:
                return one.replica_id
        return None

    def _silent(
        self,
        replica: replica_module.Replica,
        wanted_voters: int,
        now_s: float,
    ) -> str | None:
        voters = replica.membership.voters
        learners = [
            one.replica_id
            for one in replica.membership.members
            if not one.voter
        ]
        ready = any(replica.has_caught_up(one) for one in learners)
        for one in replica.membership.members:
            if one.replica_id == replica.replica_id:
                continue
            if now_s - self._seen_s[one.replica_id] <= self._gone_s:
                continue
            if not one.voter:
                return one.replica_id
            if ready and len(voters) >= wanted_voters:
                return one.replica_id
        return None
