"""Membership of a group."""

import dataclasses
import json
import typing

from limpetroute.agreement import member

_Value = typing.TypeVar('_Value', int, float)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Membership:
    """The replicas of one group, voters and learners.

    Parameters
    ----------
    members : tuple of Member
        The replicas.
    voters : tuple of str
        Identities of the voters.
    quorum : int
        Number of voters that form a majority.
    """

    members: tuple[member.Member, ...] = ()
    voters: tuple[str, ...] = dataclasses.field(
        init=False, repr=False, compare=False
    )
    quorum: int = dataclasses.field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        voters = tuple(m.replica_id for m in self.members if m.voter)
        object.__setattr__(self, 'voters', voters)
        object.__setattr__(self, 'quorum', len(voters) // 2 + 1)

    def quorum_value(
        self, value_of: typing.Callable[[str], _Value]
    ) -> _Value | None:
        """Return the greatest value that a quorum of voters has reached.

        Parameters
        ----------
        value_of : callable
            Returns a voter's value.

        Returns
        -------
        int or float or None
            None if there is no voter.
        """
        if not self.voters:
            return None
        values = sorted(value_of(voter) for voter in self.voters)
        return values[len(values) - self.quorum]

    def get(self, replica_id: str) -> member.Member | None:
        """Return the member with this identity, or None."""
        for current in self.members:
            if current.replica_id == replica_id:
                return current
        return None

    def of_host(self, host_id: str) -> member.Member | None:
        """Return the member on a host, or None."""
        for current in self.members:
            if current.host_id == host_id:
                return current
        return None

    def with_learner(self, replica_id: str, host_id: str) -> 'Membership':
        """Return the membership with one more learner."""
        learner = member.Member(
            replica_id=replica_id, host_id=host_id, voter=False
        )
        return Membership(members=(*self.members, learner))

    def with_voter(self, replica_id: str) -> 'Membership':
        """Return the membership with a learner promoted to voter."""
        members = []
        for current in self.members:
            if current.replica_id == replica_id:
                current = dataclasses.replace(current, voter=True)
            members.append(current)
        return Membership(members=tuple(members))

    def without(self, replica_id: str) -> 'Membership':
        """Return the membership without one replica."""
        return Membership(
            members=tuple(
                m for m in self.members if m.replica_id != replica_id
            )
        )

    def encode(self) -> bytes:
        """Return the membership as JSON text."""
        rows = [[m.replica_id, m.host_id, m.voter] for m in self.members]
        return json.dumps(rows, separators=(',', ':')).encode()

    @classmethod
    def decode(cls, data: bytes) -> 'Membership':
        """Parse the JSON text that `encode` returns."""
        rows = json.loads(data)
        return cls(
            members=tuple(
                member.Member(replica_id=row[0], host_id=row[1], voter=row[2])
                for row in rows
            )
        )
