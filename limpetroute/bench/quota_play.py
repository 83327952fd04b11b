"""Plays teams' quotas over many hosts on a virtual clock."""

import dataclasses
import random
import typing

from limpetroute.bench import quota_shape
from limpetroute.bench import quota_ways
from limpetroute.routing import host_quotas
from limpetroute.routing import team
from limpetroute.routing import team_index
from limpetroute.routing import team_quotas

TICK_S = 0.02
# A new leader grants nothing for this long, until hosts have reported.
RESTORE_S = 0.5
HOT = 'team-0'

WAYS = ('leader', 'leases', 'reports')


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class QuotaResult:
    """What a play showed.

    Parameters
    ----------
    asked, ran : int
        Requests, and those that ran.
    refused_within : float
        Share of the requests of teams within their quota that were refused.
    hot_share : float
        What the hot team ran, as a share of what an exact limit lets run.
    most_of_bound : float
        The fullest window, as a share of the bound on it.
    calls_per_s : float
        Calls to the leader for plain requests.
    mean_wait_ms : float
        Mean time that plain requests wait for the decision.
    """

    asked: int
    ran: int
    refused_within: float
    hot_share: float
    most_of_bound: float
    calls_per_s: float
    mean_wait_ms: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Ask:
    at_s: float
    host: int
    team: str
    units: float


class QuotaPlay:
    """Plays teams' quotas over many hosts on a virtual clock.

    Parameters
    ----------
    shape : QuotaShape
        The fleet and what goes wrong.
    way : str
        One of `WAYS`: how plain requests are decided.
    seed : int
        Seed of all draws.
    """

    def __init__(
        self, *, shape: quota_shape.QuotaShape, way: str, seed: int
    ) -> None:
        self._shape = shape
        self._rng = random.Random(seed)
        self._quotas = {
            f'team-{number}': shape.quota for number in range(shape.teams)
        }
        self._hosts = [
            host_quotas.HostQuotas(window=shape.window)
            for _ in range(shape.hosts)
        ]
        self._leader: team_quotas.TeamQuotas | None = self._new_leader()
        self._exact = self._new_leader()
        self._exact_units = 0.0
        self._grants_from_s = 0.0
        self._way = self._make_way(way)
        self._ran: dict[str, list[tuple[float, float]]] = {}
        self._refused_within = 0
        self._asked_within = 0
        self._waits_s: list[float] = []

    def __repr__(self) -> str:
        return f'{type(self).__name__}(way={self._way!r})'

    def run(self) -> QuotaResult:
        """Play to the end."""
        asks = self._draw()
        tick_s = 0.0
        for ask in asks:
            while tick_s < ask.at_s:
                self._tick(tick_s)
                tick_s += TICK_S
            self._decide(ask)
        ran = sum(len(rows) for rows in self._ran.values())
        hot = sum(units for _, units in self._ran.get(HOT, ()))
        return QuotaResult(
            asked=len(asks),
            ran=ran,
            refused_within=self._refused_within / max(1, self._asked_within),
            hot_share=hot / max(1.0, self._exact_units),
            most_of_bound=self._most_of_bound(),
            calls_per_s=self._way.calls / self._shape.play_s,
            mean_wait_ms=1000
            * sum(self._waits_s)
            / max(1, len(self._waits_s)),
        )

    def _make_way(self, name: str) -> quota_ways.Way:
        if name == 'leader':
            return quota_ways.LeaderDecides(delay_s=self._shape.delay_s)
        if name == 'leases':
            return quota_ways.Leases(delay_s=self._shape.delay_s)
        return quota_ways.Reports(
            hosts=self._hosts, quota=self._quotas.__getitem__
        )

    def _new_leader(self) -> team_quotas.TeamQuotas:
        leader = team_quotas.TeamQuotas(window=self._shape.window)
        leader.set_teams(self._index())
        return leader

    def _index(self) -> team_index.TeamIndex:
        return team_index.TeamIndex(
            teams=[
                team.Team(name=name, quota=quota)
                for name, quota in self._quotas.items()
            ]
        )

    def _draw(self) -> list[_Ask]:
        """Draw the requests; a few hosts get most of a team's."""
        shape = self._shape
        asks = []
        for name, quota in self._quotas.items():
            usual = quota.rate_per_s * shape.usual_share
            favourites = self._rng.sample(
                range(shape.hosts), max(1, shape.hosts // 7)
            )
            for units, share in (
                (shape.small_units, shape.small_share),
                (shape.large_units, 1 - shape.small_share),
            ):
                now_s = 0.0
                while now_s < shape.play_s:
                    is_hot = name == HOT and shape.hot.holds(now_s)
                    factor = shape.hot_factor if is_hot else 1.0
                    per_s = usual * share * factor / units
                    now_s += self._rng.expovariate(per_s)
                    host = self._rng.randrange(shape.hosts)
                    if self._rng.random() < 0.5:
                        host = self._rng.choice(favourites)
                    asks.append(
                        _Ask(at_s=now_s, host=host, team=name, units=units)
                    )
        asks.sort(key=lambda ask: ask.at_s)
        return asks

    def _tick(self, now_s: float) -> None:
        shape = self._shape
        if any(span.holds(now_s) for span in shape.leaderless):
            self._leader = None
        elif self._leader is None:
            self._leader = self._new_leader()
            self._grants_from_s = now_s + RESTORE_S
            for number, host in enumerate(self._hosts):
                if not self._is_cut(number, now_s):
                    self._leader.restore(
                        f'e{number}', host.take_history(now_s), now_s
                    )
        change = shape.change
        if change is not None and now_s >= change.at_s:
            if self._quotas[HOT] != change.quota:
                self._quotas[HOT] = change.quota
                self._exact.set_teams(self._index())
        if self._leader is not None:
            self._leader.set_teams(self._index())
            self._way.tick(now_s, self._leader)

    def _is_cut(self, host: int, now_s: float) -> bool:
        shape = self._shape
        if host < shape.cut_hosts:
            return any(span.holds(now_s) for span in shape.cut_off)
        return False

    def _decide(self, ask: _Ask) -> None:
        shape = self._shape
        now_s = ask.at_s
        if shape.frozen is not None and ask.host == 0:
            if shape.frozen.holds(now_s):
                now_s = shape.frozen.last_s
        exact = self._exact.admit(ask.team, ask.units, now_s).allowed
        if exact and ask.team == HOT:
            self._exact_units += ask.units
        is_large = ask.units == shape.large_units
        leader = self._leader
        if leader is None or self._is_cut(ask.host, now_s):
            allowed = self._decide_alone(ask, now_s)
        elif is_large:
            now_s = max(now_s, self._grants_from_s)
            allowed = leader.admit(ask.team, ask.units, now_s).allowed
            self._note_leader_verdict(ask, now_s, allowed=allowed)
        else:
            allowed, wait_s = self._way.admit(
                ask.host, ask.team, ask.units, now_s, leader
            )
            self._waits_s.append(wait_s)
        if allowed:
            self._ran.setdefault(ask.team, []).append((now_s, ask.units))
        if ask.team != HOT and exact:
            self._asked_within += 1
            self._refused_within += not allowed

    def _decide_alone(self, ask: _Ask, now_s: float) -> bool:
        """Decide at a host that reaches no leader."""
        verdict = self._hosts[ask.host].admit_without_leader(
            ask.team,
            self._quotas[ask.team],
            ask.units,
            now_s,
            self._shape.hosts,
        )
        if isinstance(self._way, quota_ways.Reports):
            self._way.schedule(ask.host, now_s)
        return verdict.allowed

    def _note_leader_verdict(
        self, ask: _Ask, now_s: float, *, allowed: bool
    ) -> None:
        host = self._hosts[ask.host]
        quota = self._quotas[ask.team]
        if allowed:
            host.note_granted(ask.team, quota, ask.units, now_s)
        else:
            host.note_refused(ask.team, quota, now_s)

    def _most_of_bound(self) -> float:
        """Return the fullest window of all teams, as a share of its bound."""
        return max(
            (
                _fullest(rows, self._shape.window.window_s)
                / self._shape.window.bound(self._highest_quota(name))
                for name, rows in self._ran.items()
            ),
            default=0.0,
        )

    def _highest_quota(self, name: str) -> team.Quota:
        change = self._shape.change
        if name != HOT or change is None:
            return self._shape.quota
        quotas = (self._shape.quota, change.quota)
        return max(quotas, key=lambda quota: quota.rate_per_s)


def measure(
    sizes: typing.Sequence[int] = (7, 71, 195, 350), seeds: int = 5
) -> list[dict[str, typing.Any]]:
    """Play each way at each size; return the means over the seeds."""
    rows = []
    for hosts in sizes:
        for way in WAYS:
            shape = quota_shape.QuotaShape(hosts=hosts)
            results = [
                dataclasses.asdict(
                    QuotaPlay(shape=shape, way=way, seed=seed).run()
                )
                for seed in range(seeds)
            ]
            means = {
                field: sum(row[field] for row in results) / seeds
                for field in results[0]
            }
            rows.append({'hosts': hosts, 'way': way, **means})
    return rows


def _fullest(
    rows: typing.Sequence[tuple[float, float]], window_s: float
) -> float:
    """Return the most units of any window."""
    rows = sorted(rows)
    most = total = 0.0
    first = 0
    for at_s, units in rows:
        total += units
        while rows[first][0] <= at_s - window_s:
            total -= rows[first][1]
            first += 1
        most = max(most, total)
    return most
