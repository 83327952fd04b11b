"""Tells refused callers when to come back, and lets them in then.

Load pattern: saturation, where refused callers return. With a fixed
`Retry-After` they all return to the same saturated second, are refused
again, and the answer was a lie. Here each refusal is an appointment:
the next moment at which the team's share of the fleet is not yet
promised. Fresh work leaves room for appointments that fall due, in the
measure in which callers really kept them.

A caller is known by its key. Behind a balancer it may return to
another host; there it says itself that it returns, and takes a due
appointment of its team or, if the team is not over its share, of any:
hosts are alike, and what one host promised returns spread over all. A
host never lets in more than it promised. `FILL` promises a part of the
fleet only, as lengths vary and fresh work of light teams comes too.
"""

import collections
import heapq
import typing

from limpetroute.decisions import smoothed

FILL = 0.6
MIN_RETRY_S = 0.5
MAX_RETRY_S = 120.0
EARLY_S = 0.5
LATE_S = 1.0
MAX_PROMISES = 20000
SHOW_WEIGHT = 0.05
PRIOR_SHOW = 0.3


class _Promise(typing.NamedTuple):
    due_s: float
    number: int
    team: str
    key: str
    cost_s: float


class Comeback:
    """Appointments of one model."""

    __slots__ = (
        '_cursors',
        '_due',
        '_due_by_team',
        '_later',
        '_live',
        '_made',
        '_open',
        '_show',
        'due_cost_s',
    )

    def __init__(self) -> None:
        self._made = 0
        self._cursors: dict[str, float] = {}
        self._later: list[_Promise] = []
        self._due: collections.deque[_Promise] = collections.deque()
        self._live: dict[int, _Promise] = {}
        self._due_by_team: dict[str, dict[int, _Promise]] = {}
        self._open: dict[tuple[str, str], _Promise] = {}
        self._show = smoothed.Smoothed(prior=PRIOR_SHOW, weight=SHOW_WEIGHT)
        self.due_cost_s = 0.0

    def __len__(self) -> int:
        return len(self._later) + len(self._due)

    @property
    def expected_cost_s(self) -> float:
        """Cost of the appointments due now that will be kept."""
        return self.due_cost_s * self._show.value

    def promise(
        self,
        *,
        team: str,
        key: str,
        cost_s: float,
        rate: float,
        least_s: float,
        now_s: float,
    ) -> float:
        """Make an appointment and return in how many seconds it is.

        Parameters
        ----------
        rate : float
            Cost a second that the queue takes.
        least_s : float
            No earlier than this from now.
        """
        self.advance(now_s)
        teams = max(1, len(self._cursors) + (team not in self._cursors))
        earliest_s = now_s + max(MIN_RETRY_S, least_s)
        due_s = max(earliest_s, self._cursors.get(team, 0.0))
        due_s = min(due_s, now_s + MAX_RETRY_S)
        self._cursors[team] = due_s + cost_s * teams / (FILL * rate)
        if len(self) < MAX_PROMISES:
            self._made += 1
            made = _Promise(due_s, self._made, team, key, cost_s)
            heapq.heappush(self._later, made)
            if key:
                self._open[(team, key)] = made
        return due_s - now_s

    def kept(
        self,
        *,
        team: str,
        key: str,
        returning: bool,
        behind: bool,
        now_s: float,
    ) -> bool:
        """Use the appointment that this request comes for, if any.

        Parameters
        ----------
        returning : bool
            Whether the caller says that it returns.
        behind : bool
            Whether its team is over its share.
        """
        self.advance(now_s)
        own = self._open.get((team, key)) if key else None
        if own is not None and own.number in self._live:
            self._keep(own)
            return True
        if not returning:
            return False
        due = self._due_by_team.get(team)
        if due:
            self._keep(next(iter(due.values())))
            return True
        if behind or not self._live:
            return False
        self._keep(next(iter(self._live.values())))
        return True

    def _keep(self, made: _Promise) -> None:
        self._use(made)
        self._show.add(1.0)

    def advance(self, now_s: float) -> None:
        """Let appointments fall due and lapse."""
        while self._later and self._later[0].due_s - EARLY_S <= now_s:
            made = heapq.heappop(self._later)
            self._due.append(made)
            self._live[made.number] = made
            self._due_by_team.setdefault(made.team, {})[made.number] = made
            self.due_cost_s += made.cost_s
        while self._due and self._due[0].due_s + LATE_S < now_s:
            made = self._due.popleft()
            if made.number not in self._live:
                continue
            self._use(made)
            self._show.add(0.0)
        if len(self._cursors) > MAX_PROMISES or not len(self):
            self._cursors.clear()

    def _use(self, made: _Promise) -> None:
        del self._live[made.number]
        due = self._due_by_team[made.team]
        del due[made.number]
        if not due:
            del self._due_by_team[made.team]
        if self._open.get((made.team, made.key)) is made:
            del self._open[(made.team, made.key)]
        self.due_cost_s = max(0.0, self.due_cost_s - made.cost_s)
        if not self._live:
            self.due_cost_s = 0.0
