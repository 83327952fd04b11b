"""Outlier ejection: takes slow and failing runners out of placement.

Load pattern: one runner five times slower than the rest, or a slow
runner that reports itself idle. Without ejection a decode runner that
misses the target for the time between tokens keeps its share of all
requests. Its own reports cannot be trusted, so only times measured on
this host count. A runner is ejected when its estimate is over
`SLOW_FACTOR` times the median of its peers. With 2.5, a runner with a
batch of twenty does not count as slow against an idle one, whose steps
take half the time. At most `MAX_EJECTED_SHARE` of a pool (one runner of
two) is ejected, because a pool that is slow as a whole is overloaded,
not faulty. A runner returns after `EJECTION_S`, doubled each time up to
`MAX_EJECTION_S`, and is evaluated again after `MIN_SAMPLES` samples.

A runner that fails `MAX_CONSECUTIVE_FAILURES` requests in a row is
ejected too, for `FAILURE_EJECTION_S`, without a limit on the share of
the pool: prefills for a dead decode runner would be wasted until its
heartbeats are missed, which takes 3 s at least.
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
    """Estimate of a time that a runner takes; less is better."""

    @property
    def value(self) -> float:
        """Estimated time."""

    @property
    def count(self) -> int:
        """Number of samples."""


class Ejection:
    """Ejected runners and the times at which they return."""

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
        """Names of the ejected runners."""
        return frozenset(self._ejected_until_s)

    @property
    def wake_s(self) -> float | None:
        """Time at which the first ejected runner returns."""
        return min(self._ejected_until_s.values(), default=None)

    def record_failure(
        self, state: runner_state.RunnerState, now_s: float
    ) -> None:
        """Count a failed request; eject the runner after several."""
        count = self._consecutive_failures.get(state.runner_id, 0) + 1
        self._consecutive_failures[state.runner_id] = count
        if count < MAX_CONSECUTIVE_FAILURES or state.ejected:
            return
        self._ejected_until_s[state.runner_id] = now_s + FAILURE_EJECTION_S
        state.ejected = True

    def record_success(self, runner_id: str) -> None:
        """Reset the failure count after a runner completed its stage."""
        self._consecutive_failures.pop(runner_id, None)

    def evaluate(
        self,
        *,
        fleet: fleet_module.Fleet,
        state: runner_state.RunnerState,
        estimates: typing.Mapping[str, Estimate],
        now_s: float,
    ) -> bool:
        """Compare a runner with a few peers and eject it if it is slow.

        Returns
        -------
        bool
            Whether the runner was ejected.
        """
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
        """End the ejections that are over and return their runners."""
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
        """Drop the state of a runner that is gone or has restarted."""
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
