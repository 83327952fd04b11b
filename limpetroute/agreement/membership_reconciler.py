"""Keeps the number of voters while hosts join, leave or lose disks."""

import typing

from limpetroute.agreement import events
from limpetroute.agreement import host_contacts
from limpetroute.agreement import member as member_module
from limpetroute.agreement import replica as replica_module

# A host that is frozen or partitioned for some seconds returns with its
# disk. A learner that was there before replaces it only after this time.
REPLACE_AFTER_S = 9.0
CATCH_UP_S = 4.0
# Part of the catch-up time for which a voter has to be silent. The rest is
# for the changes of the membership, which are made one after the other.
SILENT_FRACTION = 0.75
# The same for a voter that this host has not heard since its own start. The
# voter was silent for longer, but how long is not known here.
UNHEARD_FRACTION = 0.5


class MembershipReconciler:
    """Keeps the number of voters while hosts join, leave or lose disks.

    The leader makes one membership change at a time. It removes a
    member whose host is present with another disk, because its own disk
    is lost, and a learner that was silent for `REPLACE_AFTER_S`. It
    removes a silent voter only if a learner that has caught up can
    replace it and the group has all wanted voters. A removal without a
    replacement would only reduce the losses that the group tolerates.

    A learner that joined around the time at which the voter fell silent
    or later is its successor. The voter is then replaced within the
    successor's catch-up time, because further losses are tolerated after
    that. Of several silent voters, the one that was silent longest is
    replaced first.

    Parameters
    ----------
    catch_up_s : float
        Time after its start within which a new host replaces a lost one.
    replace_after_s : float
        Silence after which a member without a successor is replaced.
    """

    def __init__(
        self,
        *,
        catch_up_s: float = CATCH_UP_S,
        replace_after_s: float = REPLACE_AFTER_S,
    ) -> None:
        self._catch_up_s = catch_up_s
        self._replace_after_s = replace_after_s

    def __repr__(self) -> str:
        return (
            f'{type(self).__name__}(catch_up_s={self._catch_up_s!r}, '
            f'replace_after_s={self._replace_after_s!r})'
        )

    def next_change(
        self,
        *,
        replica: replica_module.Replica,
        contacts: host_contacts.HostContacts,
        wanted_voters: int,
        now_s: float,
    ) -> events.AddLearner | events.RemoveMember | None:
        """Return the next membership change, if one is due.

        Parameters
        ----------
        replica : Replica
            This host's replica of the group.
        contacts : HostContacts
            This host's contacts, itself included.
        wanted_voters : int
            Number of voters that the group should have.
        now_s : float
            The replica's clock.
        """
        if replica.role is not replica_module.Role.LEADER:
            return None
        present = contacts.present(now_s)
        removed_id = self._member_of_lost_disk(replica, present)
        if removed_id is None:
            removed_id = self._silent_learner(replica, contacts, now_s)
        if removed_id is None:
            removed_id = self._silent_voter(
                replica, contacts, wanted_voters, now_s
            )
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

    def _silent_learner(
        self,
        replica: replica_module.Replica,
        contacts: host_contacts.HostContacts,
        now_s: float,
    ) -> str | None:
        for member in replica.membership.members:
            if member.voter or member.replica_id == replica.replica_id:
                continue
            silent_s = now_s - contacts.last_s(member.host_id)
            if silent_s > self._replace_after_s:
                return member.replica_id
        return None

    def _silent_voter(
        self,
        replica: replica_module.Replica,
        contacts: host_contacts.HostContacts,
        wanted_voters: int,
        now_s: float,
    ) -> str | None:
        if len(replica.membership.voters) < wanted_voters:
            return None
        ready = [
            member
            for member in replica.membership.members
            if not member.voter and replica.has_caught_up(member.replica_id)
        ]
        if not ready:
            return None
        voters = [
            member
            for member in replica.membership.members
            if member.voter and member.replica_id != replica.replica_id
        ]
        voters.sort(key=lambda voter: contacts.last_s(voter.host_id))
        for voter in voters:
            silent_s = now_s - contacts.last_s(voter.host_id)
            if silent_s > self._allowed_silence_s(voter, ready, contacts):
                return voter.replica_id
        return None

    def _allowed_silence_s(
        self,
        voter: member_module.Member,
        ready: typing.Iterable[member_module.Member],
        contacts: host_contacts.HostContacts,
    ) -> float:
        # A new host may also start shortly before the lost one ends.
        earliest_s = contacts.last_s(voter.host_id) - self._catch_up_s
        for learner in ready:
            if contacts.joined_s(learner.host_id) >= earliest_s:
                if contacts.has_heard(voter.host_id):
                    return self._catch_up_s * SILENT_FRACTION
                return self._catch_up_s * UNHEARD_FRACTION
        return self._replace_after_s
