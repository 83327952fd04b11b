"""Whether a team's quota allows a request."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class QuotaVerdict:
    """Whether a team's quota allows a request.

    Parameters
    ----------
    allowed : bool
        Whether the request may run; its cost is then charged.
    wait_s : float
        Time until the quota allows a refused request.
    level : float
        What was left of the quota before the request; negative for a debt.
    by_leader : bool
        Whether the decision covers the requests at all hosts. Otherwise a
        host that reaches no leader decided by its share.
    """

    allowed: bool
    wait_s: float = 0.0
    level: float = 0.0
    by_leader: bool = True


ALLOWED = QuotaVerdict(allowed=True)
