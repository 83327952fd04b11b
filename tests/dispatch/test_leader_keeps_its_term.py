"""A control group whose leader spends simulated CPU time on scheduling.

Load pattern: a burst on a large fleet, where the host that places all
streams also has to renew the group's leader lease.
"""

import pytest

from tests.agreement import cluster as cluster_module
from tests.routing import full_fleet
from tests.routing import work_counter

STREAMS_PER_S = 120
SECONDS = 3
# The scheduler runs ten lines in a microsecond.
LINES_PER_S = 10_000_000


class BusyLeader:
    """Simulates a group whose leader places the streams of a fleet."""

    def __init__(self, runners):
        self.cluster = cluster_module.Cluster(5, 7)
        self.leader = self.cluster.end_faults()
        self.term = self.leader.replica.term
        self.fleet = full_fleet.FullFleet(runners, 30)
        self.busy_until_s = 0.0

    def play(self):
        """Simulate the burst and return whether the leader kept its term."""
        steps = round(SECONDS / cluster_module.MICRO_STEP_S)
        for _ in range(steps):
            if self.cluster.now_s >= self.busy_until_s:
                self.leader.frozen = False
                spent_s = self._decide() / LINES_PER_S
                self.busy_until_s = self.cluster.now_s + spent_s
            if self.busy_until_s > self.cluster.now_s + 0.1:
                self.leader.frozen = True
            self.cluster.run(1)
            self.fleet.now_s += cluster_module.MICRO_STEP_S
            if any(
                node.replica.term != self.term
                for node in self.cluster.running()
            ):
                return False
        return True

    def _decide(self):
        """Schedule the streams of one step and return the lines executed."""
        counter = work_counter.WorkCounter()
        with counter.counting():
            for _ in range(round(STREAMS_PER_S * cluster_module.MICRO_STEP_S)):
                self.fleet.submit()
                self.fleet.decide()
                self.fleet.release()
                self.fleet.decide()
        return counter.lines


@pytest.mark.parametrize('runners', [45, 200])
def test_a_burst_does_not_end_the_leaders_term(runners):
    """Guards against a lease that expires while the leader places streams.

    The lease expired eleven times in this way.
    """
    assert BusyLeader(runners).play()
