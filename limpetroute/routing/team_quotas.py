"""Quotas of all teams, kept by the leader for all hosts."""

import dataclasses
import math
import typing

from limpetroute.routing import quota_verdict
from limpetroute.routing import quota_window
from limpetroute.routing import spend_history
from limpetroute.routing import team as team_module
from limpetroute.routing import team_index

# Teams without requests in the window need not be stored. They are dropped
# whenever so many teams were added.
SWEEP_INTERVAL_TEAMS = 512
# A team is below its quota again once nothing was refused for this long.
CALM_S = 2.0
LOW_INTERVAL_S = 0.1

Spend = tuple[float, float]


@dataclasses.dataclass(kw_only=True, slots=True)
class _ActiveTeam:
    """What a team used in the window.

    ``restored`` holds what each host reported from before this leader.
    """

    spent: spend_history.SpendHistory
    restored: dict[str, list[Spend]] = dataclasses.field(default_factory=dict)
    refused_s: float | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TeamLevel:
    """What is left of a team's quota in the window.

    Parameters
    ----------
    team : str
        The team.
    level : float
        Units that are left; negative for a debt.
    limit : float
        Units that the quota allows in the window.
    """

    team: str
    level: float
    limit: float


class TeamQuotas:
    """Quotas of all teams, kept by the leader for all hosts.

    Pattern: one team sends several times what its quota allows, through
    many hosts. A request may run while its team has units left in the
    sliding window, and may overdraw them: otherwise a request that is
    larger than the quota could never run, and small requests would keep
    large ones out for good. So the limit of the window and one request
    bound what runs in it, and nothing that stays within the quota is
    refused, however it is spread over the window.

    Parameters
    ----------
    window : QuotaWindow
        Window in which quotas hold.
    """

    def __init__(self, *, window: quota_window.QuotaWindow) -> None:
        self._window = window
        self._teams = team_index.TeamIndex(teams=())
        self._active: dict[str, _ActiveTeam] = {}
        self._added = 0
        self._low: list[str] = []
        self._low_s = -math.inf

    def __repr__(self) -> str:
        return f'{type(self).__name__}(active={len(self._active)!r})'

    def set_teams(self, teams: team_index.TeamIndex) -> None:
        """Set the teams of the configuration in force."""
        self._teams = teams

    def admit(
        self, name: str, cost: float, now_s: float
    ) -> quota_verdict.QuotaVerdict:
        """Charge a request to its team, or refuse it."""
        quota = self._quota(name)
        if quota is None:
            return quota_verdict.ALLOWED
        active = self._find(name, now_s)
        limit = self._window.limit(quota)
        level = limit - active.spent.total(now_s)
        if level <= 0.0:
            active.refused_s = now_s
            return quota_verdict.QuotaVerdict(
                allowed=False,
                wait_s=active.spent.wait_s(min(cost, limit) - level, now_s),
                level=level,
            )
        active.spent.add(cost, now_s)
        return quota_verdict.QuotaVerdict(allowed=True, level=level)

    def charge(self, name: str, cost: float, now_s: float) -> None:
        """Charge what a host let run; a negative cost is given back."""
        if self._quota(name) is not None:
            self._find(name, now_s).spent.add(cost, now_s)

    def restore(
        self,
        host_id: str,
        spends: typing.Mapping[str, typing.Sequence[Spend]],
        now_s: float,
    ) -> None:
        """Charge what a host's requests used before this leader's term.

        Without this, each new leader would grant each team its whole quota
        again. A repeated report of a host replaces its earlier one.

        Parameters
        ----------
        host_id : str
            The host.
        spends : mapping of str to sequence of (float, float)
            Age in seconds and units, by team.
        now_s : float
            Time of a monotonic clock.
        """
        for name, ages in spends.items():
            if self._quota(name) is None:
                continue
            active = self._find(name, now_s)
            for spent_s, units in active.restored.get(host_id, ()):
                active.spent.add(-units, spent_s)
            active.restored[host_id] = [
                (now_s - age_s, units) for age_s, units in ages
            ]
            for spent_s, units in active.restored[host_id]:
                active.spent.add(units, spent_s)

    def level(self, name: str, now_s: float) -> float | None:
        """Return what is left of a team's quota; None without a quota."""
        quota = self._quota(name)
        if quota is None:
            return None
        spent = self._find(name, now_s).spent.total(now_s)
        return self._window.limit(quota) - spent

    def over(self, now_s: float) -> set[str]:
        """Return the teams of which requests were refused lately."""
        return {
            name
            for name, active in self._active.items()
            if active.refused_s is not None
            and now_s - active.refused_s <= CALM_S
        }

    def low(self, now_s: float) -> list[str]:
        """Return the teams that are near their quota.

        The list is worked out anew at intervals, as each host asks for it.
        """
        if now_s - self._low_s > LOW_INTERVAL_S:
            self._low_s = now_s
            self._low = [
                one.team
                for one in self.nearest(now_s, len(self._active))
                if one.level < quota_window.LOW_SHARE * one.limit
            ]
        return self._low

    def nearest(self, now_s: float, count: int) -> list[TeamLevel]:
        """Return the teams with the least share of their quota left."""
        levels = []
        for name in self._active:
            quota = self._quota(name)
            level = self.level(name, now_s)
            if quota is None or level is None:
                continue
            levels.append(
                TeamLevel(
                    team=name, level=level, limit=self._window.limit(quota)
                )
            )
        levels.sort(key=lambda one: one.level / one.limit)
        return levels[:count]

    def _quota(self, name: str) -> team_module.Quota | None:
        team = self._teams.get(name)
        return team.quota if team is not None else None

    def _find(self, name: str, now_s: float) -> _ActiveTeam:
        active = self._active.get(name)
        if active is None:
            self._sweep(now_s)
            active = self._active[name] = _ActiveTeam(
                spent=spend_history.SpendHistory(
                    window_s=self._window.window_s
                )
            )
        return active

    def _sweep(self, now_s: float) -> None:
        self._added += 1
        if self._added % SWEEP_INTERVAL_TEAMS:
            return
        for name, active in list(self._active.items()):
            if not active.spent.total(now_s):
                del self._active[name]
