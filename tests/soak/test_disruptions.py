"""Short seeded runs, each with one kind of disruption beside the others.

A file of its own is played beside the other runs.
"""

import asyncio

import pytest

from tests.soak import orders
from tests.soak import soak


# 97002: a leader that had just been started counted the silence of a lost
# voter from its own start, and the next loss left no quorum.
# Guards against a group of control hosts that does not survive the loss of one
# after the other, each with its disk, when the last successor has caught up.
@pytest.mark.parametrize(('seed', 'seconds'), [(97002, 8), (97104, 8)])
def test_promises_hold_while_control_hosts_are_replaced(
    tmp_path, seed, seconds
):
    run = soak.Soak(tmp_path, seed, seconds, has_losses=True)
    broken = asyncio.run(run.run())
    logs = {one.name: one.log()[-1500:] for one in run.world.controls}
    assert not broken, (broken, logs)
    assert run.replaced_controls > 1


# Guards against long calls that a stopping host takes and cuts off in the
# middle of their run.
@pytest.mark.parametrize(('seed', 'seconds'), [(98140, 10)])
def test_long_calls_are_not_cut_off_by_stopping_hosts(tmp_path, seed, seconds):
    run = soak.Soak(tmp_path, seed, seconds, has_stops=True)
    broken = asyncio.run(run.run())
    logs = {one.name: one.log()[-1500:] for one in run.world.forwards}
    assert not broken, (broken, logs)
    assert run.long_calls > 20


# Guards against entry hosts that end by their memory while many callers send
# large bodies at once.
@pytest.mark.parametrize(('seed', 'seconds'), [(99106, 8)])
def test_hosts_keep_to_their_memory_under_large_bodies(
    tmp_path, seed, seconds
):
    run = soak.Soak(tmp_path, seed, seconds, has_bodies=True)
    broken = asyncio.run(run.run())
    logs = {one.name: one.log()[-1500:] for one in run.world.forwards}
    assert not broken, (broken, logs)
    assert sum(status == 200 for status in run.large.values()) > 20


# Guards against streams that are taken up at another version when all entry
# hosts were lost at once, in the middle of a release.
@pytest.mark.parametrize(('seed', 'seconds'), [(96110, 8)])
def test_streams_keep_to_their_version_when_all_hosts_are_lost(
    tmp_path, seed, seconds
):
    run = soak.Soak(tmp_path, seed, seconds, has_versions=True, has_herds=True)
    broken = asyncio.run(run.run())
    logs = {one.name: one.log()[-1500:] for one in run.world.forwards}
    assert not broken, (broken, logs)
    taken_up = [one for one in run.promises.streams if len(one.attempts) > 1]
    assert sum(one.is_whole for one in taken_up) > 10


# Guards against orders of two leaders that are closer than the gap between
# them, with leaders that are cut off, slowed, stalled, paused and restarted.
@pytest.mark.parametrize(
    ('seed', 'options'),
    [(6, {'has_holds': True}), (70002, {'has_leaders': True})],
)
def test_runners_get_orders_of_one_leader_at_a_time(tmp_path, seed, options):
    run = soak.Soak(tmp_path, seed, 25, **options)
    broken = asyncio.run(run.run())
    logs = {one.name: one.log()[-1500:] for one in run.world.controls}
    assert not broken, (broken, logs)
    assert len(run.orders) > 15
    # The run shows nothing if one host gave them all.
    assert orders.changes(run.orders) > 1
