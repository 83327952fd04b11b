"""The window in which quotas hold, and by how much they may be exceeded."""

import dataclasses

from limpetroute.routing import team

# Share of the tolerance up to which requests run. The rest covers what runs
# before a host learns that a quota is used up, and while nobody leads.
USED_TOLERANCE = 0.5
# A team with less than this share of its limit left is near its quota.
LOW_SHARE = 0.25


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class QuotaWindow:
    """The window in which quotas hold, and by how much they may be exceeded.

    Parameters
    ----------
    window_s : float
        Length of the sliding window.
    excess : float
        Tolerated excess, as a share of what a quota allows in the window.
    slack : float
        Tolerated excess beyond that, in the quota's units.
    """

    window_s: float
    excess: float = 0.0
    slack: float = 0.0

    def limit(self, quota: team.Quota) -> float:
        """Return the units after which a team's requests are refused."""
        allowed = quota.rate_per_s * self.window_s + quota.burst
        return allowed + USED_TOLERANCE * (allowed * self.excess + self.slack)

    def bound(self, quota: team.Quota) -> float:
        """Return the units that no window may exceed."""
        allowed = quota.rate_per_s * self.window_s + quota.burst
        return allowed * (1 + self.excess) + self.slack
