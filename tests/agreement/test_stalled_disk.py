"""A leader whose disk stalls for some seconds."""

import json

from tests.agreement import cluster as cluster_module


def _claim(key):
    return json.dumps(['claim', key, 'clerk'])


def _led_cluster():
    cluster = cluster_module.Cluster(5, seed=7)
    cluster.run(25)
    return cluster, cluster.leader()


def test_a_leader_with_a_stalled_disk_still_acknowledges():
    """Commits need a majority of the disks, not the leader's own.

    A change on the disks of three other hosts is durable. The leader
    used to delay its answer until its own disk had recovered, so that
    operators who changed routes and runners that announced their
    departure got no answer.
    """
    cluster, leader = _led_cluster()
    cluster.stalled.add(leader.host_id)
    cluster.propose(leader.host_id, _claim('a').encode())
    cluster.run(8)
    assert cluster.claims == {'a': 'clerk'}
    assert cluster.leader() is leader


def test_acknowledged_change_survives_the_leaders_power_loss():
    """The stalled host loses power and with it its unsynced writes."""
    cluster, leader = _led_cluster()
    cluster.stalled.add(leader.host_id)
    cluster.propose(leader.host_id, _claim('a').encode())
    cluster.run(8)
    cluster.crash(leader.host_id, 0)
    cluster.run(30)
    successor = cluster.leader()
    assert successor is not None
    cluster.propose(successor.host_id, _claim('b').encode())
    cluster.run(8)
    assert successor.app.claims == {'a': 'clerk', 'b': 'clerk'}
    cluster.stalled.clear()
    cluster.start(leader.host_id)
    cluster.run(30)
    assert leader.app.claims == {'a': 'clerk', 'b': 'clerk'}


def test_a_snapshot_never_goes_beyond_the_synced_log():
    """While the disk stalls, the applied state is ahead of it.

    A snapshot taken then would leave a gap between the log on disk and
    the snapshot after a restart.
    """
    cluster, leader = _led_cluster()
    cluster.stalled.add(leader.host_id)
    cluster.propose(leader.host_id, _claim('a').encode())
    cluster.run(8)
    before = leader.replica.log.base_index
    cluster.compact(leader.host_id)
    assert leader.replica.log.base_index == before
    cluster.stalled.clear()
    cluster.run(2)
    cluster.compact(leader.host_id)
    assert leader.replica.log.base_index == leader.replica.applied_index
