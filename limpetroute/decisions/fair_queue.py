"""Queue of one model: fair between teams, two lanes, by deadline.

Load pattern: one team that sends fifty times its share; prompts of
30,000 tokens among prompts of forty. Without fair shares the heavy team
fills the queue and all other teams miss their targets. Without separate
lanes a prompt that takes 5 ms to prefill waits for one that takes 1.5 s.

Each team has its own queue, ordered by deadline. Between teams, start-
time fair queueing decides: the team with the least virtual time is
served next, and its virtual time advances by the cost of the request
divided by the team's share. A team that was idle starts at the current
virtual time, so it cannot save up credit. Only teams with queued
requests and at most `MAX_IDLE_TEAMS` idle teams whose virtual time is
ahead of the current one are stored, so that 13,000 teams do not take
memory.

Short requests are served first, because they cost little. While long
requests wait, short ones get at most `MAX_SHORT_SHARE` of the cost
served, so that a stream of short requests does not starve a long one.
"""

import collections
import dataclasses
import heapq
import itertools
import typing

MAX_SHORT_SHARE = 0.5
PRUNE_EVERY = 256
MAX_IDLE_TEAMS = 512
OVER_SHARE_FACTOR = 3.0


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class Queued:
    """One queued request.

    Parameters
    ----------
    work_id : str
        Name of the request.
    team : str
        Team whose share it counts against.
    cost_s : float
        Time that the request takes of the fleet's bottleneck.
    due_s : float
        Time at which its first token is due.
    long : bool
        Whether it goes to the lane of long requests.
    has_priority : bool
        Whether it is served before all others, because it was promised
        to its caller or had already started.
    removed : bool
        Whether it was taken or removed; heaps drop it later.
    arrived_s : float
        Time at which it was queued.
    """

    work_id: str
    team: str
    cost_s: float
    due_s: float
    long: bool = False
    has_priority: bool = False
    removed: bool = False
    arrived_s: float = 0.0


class _Team:
    __slots__ = (
        'backlog_s',
        'by_arrival',
        'by_deadline',
        'finish_time',
        'queued_count',
        'share',
    )

    def __init__(self, *, share: float) -> None:
        self.share = share
        self.finish_time = 0.0
        self.backlog_s = 0.0
        self.queued_count = 0
        self.by_deadline: list[tuple[float, int, Queued]] = []
        self.by_arrival: collections.deque[Queued] = collections.deque()

    def add(self, item: Queued, number: int) -> None:
        heapq.heappush(self.by_deadline, (item.due_s, number, item))
        self.by_arrival.append(item)
        self.backlog_s += item.cost_s
        self.queued_count += 1

    def remove(self, item: Queued) -> None:
        item.removed = True
        self.queued_count -= 1
        self.backlog_s = max(0.0, self.backlog_s - item.cost_s)
        if not self.queued_count:
            self.backlog_s = 0.0
        while self.by_arrival and self.by_arrival[0].removed:
            self.by_arrival.popleft()
        while self.by_arrival and self.by_arrival[-1].removed:
            self.by_arrival.pop()


class _Lane:
    """Queues of the teams, in the order of their virtual time."""

    __slots__ = (
        '_by_backlog',
        '_fair',
        '_heap',
        '_sequence',
        '_shares',
        '_taken',
        'active_teams',
        'teams',
        'virtual_time',
    )

    def __init__(
        self, *, shares: typing.Mapping[str, float], fair: bool
    ) -> None:
        self._shares = shares
        self._fair = fair
        self._heap: list[tuple[float, int, str]] = []
        self._by_backlog: list[tuple[float, int, str]] = []
        self._sequence = itertools.count()
        self._taken = 0
        self.active_teams = 0
        self.virtual_time = 0.0
        self.teams: dict[str, _Team] = {}

    def add(self, item: Queued) -> None:
        name = item.team if self._fair else ''
        team = self.teams.get(name)
        if team is None:
            team = _Team(share=self._shares.get(name, 1.0))
            self.teams[name] = team
        idle = not team.by_deadline
        if not team.queued_count:
            self.active_teams += 1
        team.add(item, next(self._sequence))
        self._push_backlog(name, team)
        if idle:
            team.finish_time = max(team.finish_time, self.virtual_time)
            self._push(name, team)

    def set_shares(self, shares: typing.Mapping[str, float]) -> None:
        self._shares = shares
        for name, team in self.teams.items():
            team.share = shares.get(name, 1.0)

    def remove(self, item: Queued) -> None:
        team = self.teams[item.team if self._fair else '']
        team.remove(item)
        if not team.queued_count:
            self.active_teams -= 1

    def newest_of_heaviest_team(self) -> Queued | None:
        """Return the newest request of the team with the most queued.

        The heap's weights become stale when requests are taken; a stale
        entry is pushed again with the team's current weight.
        """
        while self._by_backlog:
            weight, _, name = self._by_backlog[0]
            team = self.teams.get(name)
            if team is None or not team.queued_count:
                heapq.heappop(self._by_backlog)
                continue
            if -weight > team.backlog_s / team.share + 1e-9:
                heapq.heappop(self._by_backlog)
                self._push_backlog(name, team)
                continue
            return team.by_arrival[-1]
        return None

    def _push_backlog(self, name: str, team: _Team) -> None:
        weight = -team.backlog_s / team.share
        heapq.heappush(self._by_backlog, (weight, next(self._sequence), name))
        if len(self._by_backlog) > 4 * len(self.teams) + 64:
            self._by_backlog = [
                (-team.backlog_s / team.share, next(self._sequence), name)
                for name, team in self.teams.items()
                if team.queued_count
            ]
            heapq.heapify(self._by_backlog)

    def head(self) -> Queued | None:
        while self._heap:
            _, _, name = self._heap[0]
            team = self.teams[name]
            while team.by_deadline and team.by_deadline[0][2].removed:
                heapq.heappop(team.by_deadline)
            if team.by_deadline:
                return team.by_deadline[0][2]
            heapq.heappop(self._heap)
        return None

    def take(self) -> Queued:
        """Take the request that `head` has just returned."""
        start, _, name = heapq.heappop(self._heap)
        team = self.teams[name]
        _, _, item = heapq.heappop(team.by_deadline)
        team.remove(item)
        if not team.queued_count:
            self.active_teams -= 1
        self.virtual_time = max(self.virtual_time, start)
        team.finish_time = (
            max(team.finish_time, start) + item.cost_s / team.share
        )
        if team.by_deadline:
            self._push(name, team)
        self._taken += 1
        if self._taken % PRUNE_EVERY == 0:
            self._prune()
        return item

    def _push(self, name: str, team: _Team) -> None:
        heapq.heappush(
            self._heap, (team.finish_time, next(self._sequence), name)
        )

    def _prune(self) -> None:
        idle = [
            name
            for name, team in self.teams.items()
            if not team.by_deadline and team.finish_time <= self.virtual_time
        ]
        for name in idle:
            del self.teams[name]
        self._limit_idle_teams()

    def _limit_idle_teams(self) -> None:
        """Bound the number of idle teams that are stored.

        While the queue is empty, the virtual time stands still and the
        finish time of an idle team stays ahead of it, so `_prune` alone
        would keep all 13,000 teams.
        """
        idle = [
            name for name, team in self.teams.items() if not team.by_deadline
        ]
        if len(idle) <= MAX_IDLE_TEAMS:
            return
        idle.sort(key=lambda name: self.teams[name].finish_time)
        for name in idle[: len(idle) - MAX_IDLE_TEAMS // 2]:
            del self.teams[name]


class FairQueue:
    """Queued requests of one model.

    Parameters
    ----------
    shares : mapping of str to float
        Weight of each team; 1 where none is given.
    fair : bool
        Whether each team has its own queue.
    lanes : bool
        Whether long requests have their own lane.
    """

    __slots__ = (
        '_items',
        '_lanes',
        '_long',
        '_priority',
        '_short',
        '_short_credit_s',
        'backlog_s',
        'long_backlog_s',
        'priority_backlog_s',
    )

    def __init__(
        self,
        *,
        shares: typing.Mapping[str, float],
        fair: bool = True,
        lanes: bool = True,
    ) -> None:
        self._lanes = lanes
        self._priority = _Lane(shares=shares, fair=fair)
        self._short = _Lane(shares=shares, fair=fair)
        self._long = _Lane(shares=shares, fair=fair)
        self._items: dict[str, Queued] = {}
        self._short_credit_s = 0.0
        self.backlog_s = 0.0
        self.priority_backlog_s = 0.0
        self.long_backlog_s = 0.0

    def __len__(self) -> int:
        return len(self._items)

    def __contains__(self, work_id: str) -> bool:
        return work_id in self._items

    @property
    def teams(self) -> int:
        """Number of teams that are stored, summed over the lanes."""
        lanes = (self._priority, self._short, self._long)
        return sum(len(lane.teams) for lane in lanes)

    def add(self, item: Queued) -> None:
        """Queue a request.

        Raises
        ------
        ValueError
            If it is queued already.
        """
        if item.work_id in self._items:
            raise ValueError(f'{item.work_id!r} is queued already')
        item.removed = False
        self._items[item.work_id] = item
        self._lane(item).add(item)
        if item.has_priority:
            self.priority_backlog_s += item.cost_s
            return
        self.backlog_s += item.cost_s
        if item.long:
            self.long_backlog_s += item.cost_s

    def discard(self, work_id: str) -> Queued | None:
        """Remove a request from any position; None if it is not queued."""
        item = self._items.pop(work_id, None)
        if item is None:
            return None
        self._lane(item).remove(item)
        self._subtract_cost(item)
        return item

    def heads(self) -> list[Queued]:
        """Return the next request of each lane, in serving order."""
        priority = self._priority.head()
        short = self._short.head()
        long = self._long.head()
        if long is None:
            self._short_credit_s = 0.0
        found = [item for item in (short, long) if item is not None]
        if short is not None and long is not None:
            if self._short_credit_s > 0:
                found.reverse()
        return found if priority is None else [priority, *found]

    def set_shares(self, shares: typing.Mapping[str, float]) -> None:
        """Replace the weights of the teams."""
        for lane in (self._priority, self._short, self._long):
            lane.set_shares(shares)

    def take(self, item: Queued) -> None:
        """Take one of the heads."""
        lane = self._lane(item)
        lane.take()
        del self._items[item.work_id]
        self._subtract_cost(item)
        if item.has_priority:
            return
        if item.long:
            gain = item.cost_s * MAX_SHORT_SHARE / (1 - MAX_SHORT_SHARE)
            self._short_credit_s -= gain
            return
        self._short_credit_s += item.cost_s
        if self._long.head() is None:
            self._short_credit_s = 0.0

    def is_over_share(self, team: str, *, long: bool) -> bool:
        """Whether a team is well over its share.

        True if its backlog and the lead of its virtual time exceed
        `OVER_SHARE_FACTOR` times the mean cost of a queued request.
        """
        lane = self._long if long and self._lanes else self._short
        team_queue = lane.teams.get(team)
        if team_queue is None or not self._items:
            return False
        lead_s = max(0.0, team_queue.finish_time - lane.virtual_time)
        mean_s = self.backlog_s / len(self._items)
        return (
            team_queue.backlog_s / team_queue.share + lead_s
            > OVER_SHARE_FACTOR * mean_s
        )

    def cost_ahead_s(self, team: str, *, long: bool) -> float:
        """Cost that would be served before a new request of a team.

        With fair queueing a team waits for its own backlog times the
        number of active teams, but never for more than the whole queue.
        """
        lane = self._long if long and self._lanes else self._short
        total = self.backlog_s
        if not long:
            total -= self.long_backlog_s
        team_queue = lane.teams.get(team)
        own_s = team_queue.backlog_s if team_queue else 0.0
        share = team_queue.share if team_queue else 1.0
        lead_s = (
            max(0.0, team_queue.finish_time - lane.virtual_time)
            if team_queue
            else 0.0
        )
        active = lane.active_teams + (not own_s)
        mean_s = self.backlog_s / max(1, len(self._items))
        fair_s = (own_s / share + lead_s + mean_s) * active
        return min(total, fair_s)

    def newest_of_heaviest_team(self) -> Queued | None:
        """Return the newest request of the team with the most queued."""
        return (
            self._long.newest_of_heaviest_team()
            or self._short.newest_of_heaviest_team()
        )

    def _lane(self, item: Queued) -> _Lane:
        if item.has_priority:
            return self._priority
        return self._long if item.long and self._lanes else self._short

    def _subtract_cost(self, item: Queued) -> None:
        if item.has_priority:
            remaining_s = self.priority_backlog_s - item.cost_s
            self.priority_backlog_s = max(0.0, remaining_s)
            return
        self.backlog_s = max(0.0, self.backlog_s - item.cost_s)
        if item.long:
            self.long_backlog_s = max(0.0, self.long_backlog_s - item.cost_s)
        if not self._items:
            self.backlog_s = 0.0
            self.priority_backlog_s = 0.0
            self.long_backlog_s = 0.0
