"""A fleet, its teams and what goes wrong, for playing quotas."""

import dataclasses

from limpetroute.routing import quota_window
from limpetroute.routing import team


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Span:
    """A stretch of time in which something is wrong."""

    first_s: float
    last_s: float

    def holds(self, now_s: float) -> bool:
        """Return whether a time lies in the stretch."""
        return self.first_s <= now_s < self.last_s


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class QuotaChange:
    """Another quota of the hot team."""

    at_s: float
    quota: team.Quota


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class QuotaShape:
    """A fleet, its teams and what goes wrong, for playing quotas.

    Parameters
    ----------
    hosts : int
        Number of entry hosts.
    teams : int
        Number of active teams; the first one is hot.
    quota : Quota
        Quota of each team.
    window : QuotaWindow
        Window in which quotas hold.
    usual_share : float
        What a team usually asks, as a share of its rate.
    hot_factor : float
        How many times its usual the hot team asks.
    hot : Span
        When the hot team asks more.
    large_units, small_units : float
        Units of a stream and of a plain request.
    small_share : float
        Share of a team's units that plain requests use.
    delay_s : float
        One-way delay between a host and the leader.
    play_s : float
        Length of the play.
    leaderless : tuple of Span
        When nobody leads; each is followed by a new leader.
    cut_off : tuple of Span
        When ``cut_hosts`` hosts reach no leader.
    cut_hosts : int
        Number of these hosts.
    frozen : Span or None
        When the first host stands still, requests in hand.
    change : QuotaChange or None
        Another quota of the hot team.
    """

    hosts: int
    teams: int = 8
    quota: team.Quota = team.Quota(
        rate_per_s=29_000.0, burst=29_000.0, counts_tokens=True
    )
    window: quota_window.QuotaWindow = quota_window.QuotaWindow(
        window_s=8.0, excess=0.1, slack=120_000.0
    )
    usual_share: float = 0.55
    hot_factor: float = 6.0
    hot: Span = Span(first_s=4.0, last_s=20.0)
    large_units: float = 12_000.0
    small_units: float = 200.0
    small_share: float = 0.2
    delay_s: float = 0.003
    play_s: float = 30.0
    leaderless: tuple[Span, ...] = ()
    cut_off: tuple[Span, ...] = ()
    cut_hosts: int = 0
    frozen: Span | None = None
    change: QuotaChange | None = None
