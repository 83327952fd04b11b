"""Quotas as one entry host sees them."""

import dataclasses
import math
import typing

from limpetroute.routing import quota_verdict
from limpetroute.routing import quota_window
from limpetroute.routing import spend_history
from limpetroute.routing import team as team_module
from limpetroute.routing import token_bucket

# Delay of a report by what is known of the teams in it: the nearer to its
# quota, the sooner the other hosts have to know.
LOW_REPORT_DELAY_S = 0.1
UNKNOWN_REPORT_DELAY_S = 0.25
CALM_REPORT_DELAY_S = 1.0
# Time for which the leader's list of the teams near their quota is used.
# Hosts talk to the leader about once a second, and an election takes
# another second or two.
LOW_TEAMS_VALID_S = 4.0
# Without a leader, a refused caller returns after this time at most, as a
# new leader is usually elected by then.
MAX_LOCAL_WAIT_S = 1.0


@dataclasses.dataclass(kw_only=True, slots=True)
class _TeamState:
    """What a host knows of a team.

    ``level`` is what was left of its quota when the leader said so, and
    ``spent_since`` what this host's requests used after that.
    """

    quota: team_module.Quota
    limit: float
    history: spend_history.SpendHistory
    unreported: float = 0.0
    level: float | None = None
    level_s: float = 0.0
    spent_since: float = 0.0
    local: token_bucket.TokenBucket | None = None

    def estimate(self, now_s: float) -> float | None:
        """Return what is left if other hosts spend nothing meanwhile."""
        if self.level is None:
            return None
        refilled = self.quota.rate_per_s * (now_s - self.level_s)
        return min(self.level + refilled, self.limit) - self.spent_since

    def is_low(self, now_s: float) -> bool:
        level = self.estimate(now_s)
        return (
            level is not None and level < self.limit * quota_window.LOW_SHARE
        )


class HostQuotas:
    """Quotas as one entry host sees them.

    Small requests run without a call to the leader. The host reports what
    they used, and refuses a team's requests from when the leader says that
    its quota is used up. Until then they run on credit: what they overdraw
    is charged at the leader, and is bounded by what arrives within the
    delay of a report.

    Without a leader, a host lets a team use its even share. A request that
    is larger than the share may overdraw it, if the leader said lately
    which teams are near their quota and this one was not among them. The
    share refills slowly also while there is a leader, so that losing
    several in a row lets no team use its share several times. With ``c``
    of ``h`` hosts cut off, the requests in a window stay within
    ``(rate x window + burst) x (1 + c / h) + c x largest request``.

    Parameters
    ----------
    window : QuotaWindow
        Window in which quotas hold; the host remembers for so long what
        it spent, for a new leader.
    """

    def __init__(self, *, window: quota_window.QuotaWindow) -> None:
        self._window = window
        self._low_teams: frozenset[str] = frozenset()
        self._low_teams_s = -math.inf
        self._teams: dict[str, _TeamState] = {}

    def __repr__(self) -> str:
        return f'{type(self).__name__}(teams={len(self._teams)!r})'

    def admit_with_leader(
        self, name: str, quota: team_module.Quota, cost: float, now_s: float
    ) -> quota_verdict.QuotaVerdict:
        """Let a request run unless its team's quota is known to be used."""
        state = self._state(name, quota)
        level = state.estimate(now_s)
        if level is not None and level <= 0.0:
            return quota_verdict.QuotaVerdict(
                allowed=False,
                wait_s=(min(cost, state.limit) - level) / quota.rate_per_s,
                level=level,
            )
        self._spend(state, cost, now_s)
        state.unreported += cost
        return quota_verdict.QuotaVerdict(allowed=True, level=level or 0.0)

    def admit_without_leader(
        self,
        name: str,
        quota: team_module.Quota,
        cost: float,
        now_s: float,
        hosts: int,
    ) -> quota_verdict.QuotaVerdict:
        """Let a request run if this host's share of the quota allows it.

        Parameters
        ----------
        name : str
            The team.
        quota : Quota
            Its quota.
        cost : float
            Units of the request.
        now_s : float
            Time of a monotonic clock.
        hosts : int
            Number of entry hosts that share the quota.
        """
        state = self._state(name, quota)
        is_low = name in self._low_teams or state.is_low(now_s)
        is_known = now_s - self._low_teams_s <= LOW_TEAMS_VALID_S
        if state.local is None:
            share = quota.burst / hosts
            state.local = token_bucket.TokenBucket(
                rate_per_s=quota.rate_per_s / hosts,
                burst=share,
                now_s=now_s,
                tokens=0.0 if is_low else share,
            )
        may_overdraw = is_known and not is_low
        level = state.local.level(now_s)
        if level <= 0.0 or (level < cost and not may_overdraw):
            wait_s = min(state.local.wait_s(cost, now_s), MAX_LOCAL_WAIT_S)
            return quota_verdict.QuotaVerdict(
                allowed=False, wait_s=wait_s, level=level, by_leader=False
            )
        state.local.take(cost, now_s)
        self._spend(state, cost, now_s)
        state.unreported += cost
        return quota_verdict.QuotaVerdict(
            allowed=True, level=level, by_leader=False
        )

    def note_granted(
        self, name: str, quota: team_module.Quota, cost: float, now_s: float
    ) -> None:
        """Remember a request that the leader charged."""
        self._spend(self._state(name, quota), cost, now_s)

    def note_refused(
        self, name: str, quota: team_module.Quota, now_s: float
    ) -> None:
        """Record that the leader refused a request over the quota."""
        self._state(name, quota)
        self.note_levels({name: 0.0}, now_s)

    def give_back(self, name: str, cost: float, now_s: float) -> None:
        """Give back the cost of a request that did not run."""
        state = self._teams.get(name)
        if state is None:
            return
        self._spend(state, -cost, now_s)
        state.unreported -= cost
        if state.local is not None:
            state.local.put_back(cost, now_s)

    def report_delay_s(self, now_s: float) -> float | None:
        """Return how long a report may wait; None if there is none."""
        delays_s = [
            _report_delay_s(state, now_s)
            for state in self._teams.values()
            if state.unreported
        ]
        return min(delays_s, default=None)

    def take_unreported(self, now_s: float) -> dict[str, float]:
        """Return what is to be reported; it counts as reported then."""
        spent = {}
        for name, state in list(self._teams.items()):
            if state.unreported:
                spent[name] = state.unreported
                state.unreported = 0.0
                continue
            if not state.history.total(now_s):
                del self._teams[name]
        return spent

    def put_back_unreported(self, spent: typing.Mapping[str, float]) -> None:
        """Take back a report that did not arrive."""
        for name, units in spent.items():
            state = self._teams.get(name)
            if state is not None:
                state.unreported += units

    def note_levels(
        self, levels: typing.Mapping[str, float | None], now_s: float
    ) -> None:
        """Record what the leader says is left of teams' quotas."""
        for name, level in levels.items():
            state = self._teams.get(name)
            if state is None:
                continue
            state.level = level
            state.level_s = now_s
            state.spent_since = state.unreported

    def note_low_teams(
        self, names: typing.Iterable[str], now_s: float
    ) -> None:
        """Record which teams the leader says are near their quota."""
        self._low_teams = frozenset(names)
        self._low_teams_s = now_s

    def take_history(
        self, now_s: float
    ) -> dict[str, list[tuple[float, float]]]:
        """Return all that was spent lately, for a new leader, by team.

        It counts as reported then.
        """
        spent = {}
        for name, state in self._teams.items():
            state.unreported = 0.0
            ages = state.history.by_age(now_s)
            if ages:
                spent[name] = ages
        return spent

    def _state(self, name: str, quota: team_module.Quota) -> _TeamState:
        state = self._teams.get(name)
        if state is None:
            state = self._teams[name] = _TeamState(
                quota=quota,
                limit=self._window.limit(quota),
                history=spend_history.SpendHistory(
                    window_s=self._window.window_s
                ),
            )
        elif state.quota != quota:
            # The leader's decisions were about the earlier quota.
            state.quota = quota
            state.limit = self._window.limit(quota)
            state.level = None
            state.local = None
        return state

    def _spend(self, state: _TeamState, cost: float, now_s: float) -> None:
        state.history.add(cost, now_s)
        state.spent_since += cost


def _report_delay_s(state: _TeamState, now_s: float) -> float:
    if state.level is None:
        return UNKNOWN_REPORT_DELAY_S
    if state.is_low(now_s):
        return LOW_REPORT_DELAY_S
    return CALM_REPORT_DELAY_S
