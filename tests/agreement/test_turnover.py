"""Bootstrap by seeds and automatic replacement of hosts, under faults.

Disks are lost, hosts are replaced one after the other and links fail in
one direction. Acknowledged changes must be kept, with one leader at a
time.
"""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

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


def cluster_with_default_times(seed):
    cluster = repaired_cluster(seed)
    for host in cluster.nodes:
        cluster.reconcilers[host] = (
            membership_reconciler.MembershipReconciler()
        )
    return cluster


def others_than_leader(cluster):
    leader = cluster.leader()
    return [host for host in cluster.nodes if host != leader.host_id]


# Guards against replacing a host that returns with its disk by a spare one.
@pytest.mark.parametrize('seed', range(5))
def test_a_frozen_voter_keeps_its_place_beside_a_spare_host(seed):
    cluster = cluster_with_default_times(seed)
    spare = cluster.add_host()
    cluster.run(100)
    frozen = others_than_leader(cluster)[0]
    cluster.nodes[frozen].frozen = True
    cluster.run(80)
    cluster.nodes[frozen].frozen = False
    cluster.run(20)
    membership = cluster.leader().replica.membership
    assert membership.of_host(frozen).voter
    assert not membership.of_host(spare).voter


# Guards against a lost voter whose silence is counted anew by each leader.
@pytest.mark.parametrize('seed', range(5))
def test_a_voters_silence_counts_over_a_change_of_leader(seed):
    cluster = cluster_with_default_times(seed)
    lost = others_than_leader(cluster)[0]
    cluster.crash(lost, 0)
    cluster.run(10)
    successor = cluster.add_host()
    cluster.run(15)
    former = cluster.leader().host_id
    cluster.crash(former, 0)
    while cluster.leader() is None:
        cluster.run(1)
    cluster.run(15)
    membership = cluster.leader().replica.membership
    assert cluster.leader().host_id != former
    assert membership.of_host(lost) is None
    assert membership.of_host(successor).voter


# Guards against a lost voter that stays as all others were started again and
# count its silence from their own start.
@pytest.mark.parametrize('seed', range(5))
def test_a_lost_voter_is_replaced_in_time_after_a_restart_of_all(seed):
    cluster = cluster_with_default_times(seed)
    lost = others_than_leader(cluster)[0]
    cluster.crash(lost, 0)
    cluster.run(10)
    successor = cluster.add_host()
    cluster.run(10)
    others = [host for host in cluster.nodes if host != lost]
    for host in others:
        cluster.crash(host, 0)
    for host in others:
        cluster.start(host)
    cluster.run(30)
    membership = cluster.leader().replica.membership
    assert membership.of_host(lost) is None
    assert membership.of_host(successor).voter


# Guards against a group that stays incomplete when a successor is lost while
# it catches up, and the host that it replaces returns.
@pytest.mark.parametrize('seed', range(5))
def test_a_host_returns_after_its_successor_was_lost(seed):
    cluster = cluster_with_default_times(seed)
    away = others_than_leader(cluster)[0]
    cluster.crash(away, 0)
    cluster.run(10)
    successor = cluster.add_host()
    cluster.run(2)
    cluster.crash(successor, 0)
    cluster.run(40)
    cluster.start(away)
    cluster.run(150)
    membership = cluster.leader().replica.membership
    assert membership.of_host(away).voter
    assert membership.of_host(successor) is None


class HastyReconciler(membership_reconciler.MembershipReconciler):
    """Removes silent voters even if no learner can replace them."""

    def _silent_voter(self, replica, contacts, wanted_voters, now_s):
        for member in replica.membership.members:
            if member.replica_id == replica.replica_id:
                continue
            silent_s = now_s - contacts.last_s(member.host_id)
            if silent_s > self._replace_after_s:
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
