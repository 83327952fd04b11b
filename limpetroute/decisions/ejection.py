"""Takes slow runners out by comparison with their peers.

Load pattern: one runner five times slower than the rest, or one whose
reports say it is idle. Without ejection a decode runner that misses
the time between tokens keeps a share of all answers; its own reports
cannot be believed, so only what was seen here counts. A runner is out
when its figure is over `FACTOR` times the median of its peers: at 2.5
a batch of twenty against an idle one (a factor of 2 in step time) does
not count as slow. At most a quarter of a pool (one of two) is out, as
a pool that is slow as a whole is overload, not a fault. A runner comes
back after `OUT_S`, doubled each time up to `MAX_OUT_S`, and is judged
anew by its next `MIN_SAMPLES`.

A runner that fails `MAX_FAILURES` requests in a row without one that
worked is out too, for `FAILED_OUT_S`, and here without a share: a dead
runner is dead, and prompts read for it would be thrown away until its
heartbeats are missed (3 s at least).
"""

import statistics
import typing

from limpetroute.decisions import fleet as fleet_module
from limpetroute.decisions import runner_facts
from limpetroute.decisions import runner_state

SLOW_FACTOR = 2.5
MIN_SAMPLES = 3
EJECTION_S = 5.0
MAX_EJECTION_S = 60.0
MAX_EJECTED_SHARE = 0.25
MAX_PEERS = 16
MAX_CONSECUTIVE_FAILURES = 3
FAILURE_EJECTION_S = 1.0


class Estimate(typing.Protocol):
    """Something learned of a runner; less is better."""

    @property
    def value(self) -> float:
        """The figure."""

    @property
    def count(self) -> int:
        """Samples behind it."""


class Ejection:
    """Runners that are out, and until when."""

    __slots__ = (
        '_consecutive_failures',
        '_ejected_until_s',
        '_ejection_counts',
    )

    def __init__(self) -> None:
        self._consecutive_failures: dict[str, int] = {}
        self._ejected_until_s: dict[str, float] = {}
        self._ejection_counts: dict[str, int] = {}

    @property
    def ejected(self) -> frozenset[str]:
        """Names of the runners that are out."""
        return frozenset(self._ejected_until_s)

    @property
    def wake_s(self) -> float | None:
        """When the first of them comes back."""
        return min(self._ejected_until_s.values(), default=None)

    def record_failure(
        self, state: runner_state.RunnerState, now_s: float
    ) -> None:
        """Count a failure at a runner."""
        count = self._consecutive_failures.get(state.runner_id, 0) + 1
        self._consecutive_failures[state.runner_id] = count
        if count < MAX_CONSECUTIVE_FAILURES or state.ejected:
            return
        self._ejected_until_s[state.runner_id] = now_s + FAILURE_EJECTION_S
        state.ejected = True

    def record_success(self, runner_id: str) -> None:
        """Note that a runner did its part of a request."""
        self._consecutive_failures.pop(runner_id, None)

    def evaluate(
        self,
        *,
        fleet: fleet_module.Fleet,
        state: runner_state.RunnerState,
        estimates: typing.Mapping[str, Estimate],
        now_s: float,
    ) -> bool:
        """Compare one runner with a few peers; return whether it is out."""
        own = estimates.get(state.runner_id)
        if own is None or own.count < MIN_SAMPLES or state.ejected:
            return False
        peers = _peers(fleet, state)
        allowed = max(1, int(MAX_EJECTED_SHARE * (len(peers) + 1)))
        if sum(peer.ejected for peer in peers) >= allowed:
            return False
        values = [
            estimates[peer.runner_id].value
            for peer in peers
            if not peer.ejected
            and peer.runner_id in estimates
            and estimates[peer.runner_id].count >= MIN_SAMPLES
        ]
        if not values or own.value <= SLOW_FACTOR * statistics.median(values):
            return False
        times = self._ejection_counts.get(state.runner_id, 0)
        self._ejection_counts[state.runner_id] = times + 1
        out_s = min(MAX_EJECTION_S, EJECTION_S * 2**times)
        self._ejected_until_s[state.runner_id] = now_s + out_s
        state.ejected = True
        return True

    def readmit(self, fleet: fleet_module.Fleet, now_s: float) -> list[str]:
        """Let back in those whose time is over, and return them."""
        back = [
            name
            for name, until in self._ejected_until_s.items()
            if until <= now_s
        ]
        for runner_id in back:
            del self._ejected_until_s[runner_id]
            state = fleet.runners.get(runner_id)
            if state is not None:
                state.ejected = False
        return back

    def remove_runner(self, runner_id: str) -> None:
        """Drop a runner that is gone."""
        self._ejected_until_s.pop(runner_id, None)
        self._ejection_counts.pop(runner_id, None)
        self._consecutive_failures.pop(runner_id, None)


def _peers(
    fleet: fleet_module.Fleet, state: runner_state.RunnerState
) -> list[runner_state.RunnerState]:
    role: runner_facts.Role = state.facts.role
    model = min(state.facts.models, default='')
    return [
        peer
        for peer in fleet.runners_of(role, model, MAX_PEERS)
        if peer is not state
    ]
