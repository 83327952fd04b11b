"""A leader whose disk answers nothing for some seconds."""

import json

from tests.agreement import cluster as cluster_module


def _claim(key):
    return json.dumps(['claim', key, 'clerk'])


def _led_cluster():
    cluster = cluster_module.Cluster(5, seed=7)
    cluster.run(25)
    return cluster, cluster.leader()


def test_a_leader_with_a_stalled_disk_still_acknowledges():
    """The leading host's disk hangs while operators change routes.

    Three other hosts have the change on their disks, so it is kept for
    good. The leader held its answer back until its own disk came round:
    the operator, and each runner that said it leaves, heard nothing.
    """
    cluster, leader = _led_cluster()
    cluster.stalled.add(leader.host_id)
    cluster.propose(leader.host_id, _claim('a').encode())
    cluster.run(8)
    assert cluster.claims == {'a': 'clerk'}
    assert cluster.leader() is leader


def test_what_it_acknowledged_outlives_its_power():
    """The stalled host loses power, and with it what was not synced."""
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
    """The state is ahead of its own disk while that hangs.

    A snapshot taken then would say more than the log below it, and its
    restart would find a hole between the two.
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
