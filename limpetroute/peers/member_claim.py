"""One claim about one host, as it travels between hosts."""

import dataclasses

from limpetroute.peers import member_status


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MemberClaim:
    """A claim about a host.

    Parameters
    ----------
    host_id : str
        The host it is about.
    url : str
        Its internal address.
    zone : str
        Its availability zone.
    incarnation : int
        Grows with each start of the host, so that a restarted host is
        not taken for its former self.
    refutation : int
        Grows each time the host contradicts a claim about itself.
    status : MemberStatus
        What it is claimed to be.
    leaving : bool
        Whether the host said that it takes no new work.
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
        """Place among claims about one host; the highest one holds."""
        rank = member_status.RANK[self.status]
        return (self.incarnation, self.refutation, rank)

    @property
    def takes_work(self) -> bool:
        """Whether the host may be given something new to hold."""
        return (
            self.status is member_status.MemberStatus.ALIVE
            and not self.leaving
        )
