import itertools
import json

import pytest

from tests.agreement import cluster as cluster_module

HOSTS = [f'c{place}' for place in range(5)]
# Rounds within which a change must be acknowledged or a group recover.
ACK_ROUNDS = 60
RECOVERY_ROUNDS = 300


def claim(key):
    return json.dumps(['claim', key, 'clerk']).encode()


def acknowledged_cluster(seed):
    """Return a cluster that has just acknowledged a change.

    Disks sync with random delays, so only the disks that the leader
    waited for have the change.
    """
    cluster = cluster_module.Cluster(5, seed=seed)
    cluster.run(25)
    cluster.max_delay_steps = 4
    cluster.propose(cluster.leader().host_id, claim('last'))
    for _ in range(ACK_ROUNDS):
        cluster.run(1)
        if 'last' in cluster.claims:
            return cluster
    raise AssertionError('never acknowledged')


# Guards against the loss of an acknowledged change when two disks are lost
# and all other hosts lose power at the same time.
@pytest.mark.parametrize('lost', list(itertools.combinations(HOSTS, 2)))
def test_what_was_acknowledged_outlives_two_disks_and_all_power(lost):
    for seed in range(6):
        cluster = acknowledged_cluster(seed)
        for host in HOSTS:
            if host in lost:
                cluster.lose_disk(host)
            else:
                cluster.crash(host, 0)
        cluster.in_flight.clear()
        for host in HOSTS:
            cluster.start(host)
        for _ in range(RECOVERY_ROUNDS):
            cluster.run(1)
            if cluster.leader() is not None:
                break
        leader = cluster.leader()
        assert leader is not None
        assert leader.app.claims == {'last': 'clerk'}


# Checks that the test above can fail: a change that is acknowledged before
# it is synced is lost.
def test_change_acknowledged_before_its_sync_is_lost():
    class Unsynced(cluster_module.Cluster):
        syncs_before_ack = False

    lost_somewhere = False
    for seed in range(6):
        cluster = Unsynced(5, seed=seed)
        cluster.run(25)
        cluster.propose(cluster.leader().host_id, claim('last'))
        cluster.run(6)
        if 'last' not in cluster.claims:
            continue
        for host in HOSTS:
            cluster.crash(host, 0)
        synced = [
            host
            for host in HOSTS
            if any(
                b'last' in entry.data
                for entry in cluster.nodes[host].disk.saved.entries
            )
        ]
        lost_somewhere = lost_somewhere or len(synced) < 3
    assert lost_somewhere
