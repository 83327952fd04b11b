"""A claim about the state of one host, exchanged between hosts."""

import dataclasses

from limpetroute.peers import member_status


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MemberClaim:
    """A claim about the state of one host.

    Parameters
    ----------
    host_id : str
        Host that the claim describes.
    url : str
        Its internal address.
    zone : str
        Its availability zone.
    incarnation : int
        Grows with each start of the host, which distinguishes a
        restarted host from its former process.
    refutation : int
        Grows each time the host refutes a claim about itself.
    status : MemberStatus
        Claimed liveness of the host.
    leaving : bool
        Whether the host has announced that it takes no new work.
    """

    host_id: str
    url: str
    zone: str
    incarnation: int
    refutation: int = 0
    status: member_status.MemberStatus = member_status.MemberStatus.ALIVE
    leaving: bool = False

    @property
    def order(self) -> tuple[int, int, int]:
        """Sort key of claims about one host; the highest one applies."""
        rank = member_status.RANK[self.status]
        return (self.incarnation, self.refutation, rank)

    @property
    def takes_work(self) -> bool:
        """Whether the host may be assigned new work."""
        return (
            self.status is member_status.MemberStatus.ALIVE
            and not self.leaving
        )
