"""Membership as seen by one host at one moment."""

import dataclasses

from limpetroute.peers import member_claim
from limpetroute.peers import member_status


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MemberView:
    """Claims about all hosts, and when each host last sent a message.

    Parameters
    ----------
    claims : tuple of MemberClaim
        Newest claim about each host, this one included.
    heard_age_s : dict of str to float
        Age of the newest message received from each host itself.
    recently_s : float
        Highest age at which a host counts as recently seen.
    """

    claims: tuple[member_claim.MemberClaim, ...]
    heard_age_s: dict[str, float]
    recently_s: float

    @property
    def working(self) -> tuple[member_claim.MemberClaim, ...]:
        """Hosts that may be assigned new work."""
        return tuple(item for item in self.claims if item.takes_work)

    @property
    def unsure(self) -> tuple[str, ...]:
        """Suspects, which may be alive or dead."""
        suspect = member_status.MemberStatus.SUSPECT
        return tuple(
            item.host_id for item in self.claims if item.status is suspect
        )

    @property
    def gone(self) -> tuple[str, ...]:
        """Hosts considered dead or departed."""
        gone = (
            member_status.MemberStatus.DEAD,
            member_status.MemberStatus.LEFT,
        )
        return tuple(
            item.host_id for item in self.claims if item.status in gone
        )

    @property
    def recently_seen(self) -> tuple[str, ...]:
        """Hosts from which a message was received recently."""
        return tuple(
            host_id
            for host_id, age_s in self.heard_age_s.items()
            if age_s <= self.recently_s
        )

    def find(self, host_id: str) -> member_claim.MemberClaim | None:
        """Return the newest claim about a host, or None."""
        for item in self.claims:
            if item.host_id == host_id:
                return item
        return None
