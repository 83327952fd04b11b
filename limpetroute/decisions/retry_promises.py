"""Promises rejected callers a time at which a retry is admitted.

Load pattern: saturation, where rejected callers retry. With a fixed
`Retry-After` all of them retry in the same saturated second and are
rejected again. Here each rejection carries a promise: the next time at
which the team's share of the fleet is not yet promised. New requests
leave capacity for the promises that are due, scaled by the share of
promises that callers actually redeem.

A caller is identified by its key. Behind a load balancer its retry may
arrive at another host. There the caller declares the retry, and the
host redeems a due promise of the same team or, if the team is not over
its share, of any team: all hosts make similar promises, and the retries
to the promises of one host spread evenly over all hosts. A host never
admits more retries than it promised. Only `PROMISED_SHARE` of the fleet
is promised, because lengths of answers vary and new requests of teams
below their share arrive too.
"""

import collections
import heapq
import typing

from limpetroute.decisions import smoothed

PROMISED_SHARE = 0.6
MIN_RETRY_S = 0.5
MAX_RETRY_S = 120.0
EARLY_TOLERANCE_S = 0.5
LATE_TOLERANCE_S = 1.0
MAX_PROMISES = 20000
RETURN_RATE_WEIGHT = 0.05
PRIOR_RETURN_RATE = 0.3


class _Promise(typing.NamedTuple):
    due_s: float
    number: int
    team: str
    key: str
    cost_s: float


class RetryPromises:
    """Promises for the rejected callers of one model."""

    __slots__ = (
        '_by_key',
        '_count',
        '_due',
        '_due_by_team',
        '_next_due_s',
        '_redeemable',
        '_return_rate',
        '_upcoming',
        'due_cost_s',
    )

    def __init__(self) -> None:
        self._count = 0
        self._next_due_s: dict[str, float] = {}
        self._upcoming: list[_Promise] = []
        self._due: collections.deque[_Promise] = collections.deque()
        self._redeemable: dict[int, _Promise] = {}
        self._due_by_team: dict[str, dict[int, _Promise]] = {}
        self._by_key: dict[tuple[str, str], _Promise] = {}
        self._return_rate = smoothed.Smoothed(
            prior=PRIOR_RETURN_RATE, weight=RETURN_RATE_WEIGHT
        )
        self.due_cost_s = 0.0

    def __len__(self) -> int:
        return len(self._upcoming) + len(self._due)

    @property
    def expected_cost_s(self) -> float:
        """Cost of the due promises that are expected to be redeemed."""
        return self.due_cost_s * self._return_rate.value

    def promise(
        self,
        *,
        team: str,
        key: str,
        cost_s: float,
        drain_rate: float,
        min_wait_s: float,
        now_s: float,
    ) -> float:
        """Make a promise and return the seconds until it is due.

        Parameters
        ----------
        drain_rate : float
            Cost per second that leaves the queue.
        min_wait_s : float
            Least time until the promise is due.
        """
        self.advance(now_s)
        teams = max(1, len(self._next_due_s) + (team not in self._next_due_s))
        earliest_s = now_s + max(MIN_RETRY_S, min_wait_s)
        due_s = max(earliest_s, self._next_due_s.get(team, 0.0))
        due_s = min(due_s, now_s + MAX_RETRY_S)
        self._next_due_s[team] = due_s + cost_s * teams / (
            PROMISED_SHARE * drain_rate
        )
        if len(self) < MAX_PROMISES:
            self._count += 1
            promise = _Promise(due_s, self._count, team, key, cost_s)
            heapq.heappush(self._upcoming, promise)
            if key:
                self._by_key[(team, key)] = promise
        return due_s - now_s

    def redeem(
        self,
        *,
        team: str,
        key: str,
        returning: bool,
        over_share: bool,
        now_s: float,
    ) -> bool:
        """Use up a due promise for this request, if there is one.

        Parameters
        ----------
        returning : bool
            Whether the caller declares that this is a promised retry.
        over_share : bool
            Whether the team is over its share.

        Returns
        -------
        bool
            Whether a promise was redeemed.
        """
        self.advance(now_s)
        own = self._by_key.get((team, key)) if key else None
        if own is not None and own.number in self._redeemable:
            self._redeem(own)
            return True
        if not returning:
            return False
        due = self._due_by_team.get(team)
        if due:
            self._redeem(next(iter(due.values())))
            return True
        if over_share or not self._redeemable:
            return False
        self._redeem(next(iter(self._redeemable.values())))
        return True

    def _redeem(self, promise: _Promise) -> None:
        self._remove(promise)
        self._return_rate.add(1.0)

    def advance(self, now_s: float) -> None:
        """Move promises that are now due to the due ones; expire old."""
        while (
            self._upcoming
            and self._upcoming[0].due_s - EARLY_TOLERANCE_S <= now_s
        ):
            promise = heapq.heappop(self._upcoming)
            self._due.append(promise)
            self._redeemable[promise.number] = promise
            self._due_by_team.setdefault(promise.team, {})[promise.number] = (
                promise
            )
            self.due_cost_s += promise.cost_s
        while self._due and self._due[0].due_s + LATE_TOLERANCE_S < now_s:
            promise = self._due.popleft()
            if promise.number not in self._redeemable:
                continue
            self._remove(promise)
            self._return_rate.add(0.0)
        if len(self._next_due_s) > MAX_PROMISES or not len(self):
            self._next_due_s.clear()

    def _remove(self, promise: _Promise) -> None:
        del self._redeemable[promise.number]
        due = self._due_by_team[promise.team]
        del due[promise.number]
        if not due:
            del self._due_by_team[promise.team]
        if self._by_key.get((promise.team, promise.key)) is promise:
            del self._by_key[(promise.team, promise.key)]
        self.due_cost_s = max(0.0, self.due_cost_s - promise.cost_s)
        if not self._redeemable:
            self.due_cost_s = 0.0
