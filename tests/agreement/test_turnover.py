"""Bootstrap by seeds and automatic replacement of hosts, under faults.

Disks are lost, hosts are replaced one after the other and links fail in
one direction. Acknowledged changes must be kept, with one leader at a
time.
"""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from limpetroute.agreement import membership_reconciler
from tests.agreement import seed_cluster
from tests.agreement import test_fuzz

HOSTS = st.integers(0, 4)


class SeedMachine(test_fuzz.ReplicaMachine):
    size = 5
    cluster_type = seed_cluster.SeedCluster

    def host(self, number):
        type(self).rules_run += 1
        hosts = sorted(self.cluster.nodes)
        return hosts[number % len(hosts)]

    @stateful.rule(number=HOSTS)
    def replace_host(self, number):
        """Remove a host for good once the group is whole."""
        leader = self.cluster.end_faults()
        host = self.host(number)
        acked = dict(self.cluster.acked)
        new = self.cluster.replace_host(host)
        for _ in range(150):
            self.cluster.run(3)
            leader = self.cluster.leader()
            if leader is not None and self.cluster.is_repaired(leader):
                break
        else:
            raise AssertionError(f'{new} never took the place of {host}')
        for index in acked:
            assert index <= leader.replica.commit_index

    # These rules use the names that the hosts have at the start.
    second_failure_right_after_repair = None
    repair_all_then_lose_next = None
    cut_one_way = None
    isolate_leader_under_load = None


TestSeedMachine = SeedMachine.TestCase
TestSeedMachine.settings = hypothesis.settings(
    max_examples=40, stateful_step_count=30, deadline=None
)


def repaired_cluster(seed):
    cluster = seed_cluster.SeedCluster(5, seed)
    cluster.end_faults()
    return cluster


def test_three_seeds_grow_to_five_voters():
    for seed in range(10):
        leader = repaired_cluster(seed).leader()
        assert len(leader.replica.membership.voters) == seed_cluster.VOTERS


def test_a_host_that_is_away_keeps_its_place_without_a_newcomer():
    cluster = repaired_cluster(1)
    away = next(
        host for host in cluster.nodes if host != cluster.leader().host_id
    )
    cluster.crash(away, 0)
    cluster.run(400)
    assert f'{away}.0' in cluster.leader().replica.membership.voters


class HastyReconciler(membership_reconciler.MembershipReconciler):
    """Removes silent voters even if no learner can replace them."""

    def _silent_member(self, replica, wanted_voters, now_s):
        for member in replica.membership.members:
            if member.replica_id == replica.replica_id:
                continue
            if (
                now_s - self._last_seen_s[member.replica_id]
                > self._replace_after_s
            ):
                return member.replica_id
        return None


def test_removal_without_a_successor_is_caught():
    """Without the guard, two silent hosts leave a group of three."""
    cluster = repaired_cluster(1)
    for host in cluster.nodes:
        cluster.reconcilers[host] = HastyReconciler(
            replace_after_s=seed_cluster.REPLACE_AFTER_S
        )
    leader = cluster.leader()
    others = [host for host in cluster.nodes if host != leader.host_id]
    for host in others[:2]:
        cluster.crash(host, 0)
    cluster.run(600)
    assert len(cluster.leader().replica.membership.voters) < 5
