"""Tests of a leader whose lease lapses for a moment within its term."""

import asyncio
import types

import pytest

from limpetroute.dispatch import dispatcher as dispatcher_module
from limpetroute.routing import placement
from tests.dispatch import test_dispatcher

LAPSE_S = 3 * dispatcher_module.PASS_PERIOD_S


async def _lapse(leader):
    leader.replica.leads = False
    await asyncio.sleep(LAPSE_S)
    leader.replica.leads = True


# Guards against a leader that forgets within its term what it has placed and
# charged, though no other host may have led, and hosts do not report it again.
def test_a_leader_keeps_its_state_when_its_lease_lapses(monkeypatch):
    monkeypatch.setattr(dispatcher_module, 'RESTORE_PERIOD_S', 0.0)

    async def work():
        leader = test_dispatcher.Leader()
        leader.dispatcher._node.routes_splitter = types.SimpleNamespace(
            split=_do_nothing
        )
        leader.dispatcher.start()
        try:
            placed = await leader.place('s')
            assert isinstance(placed, placement.Placement)
            quotas = leader.dispatcher._quotas._quotas
            await _lapse(leader)
            await leader.place('t')
            scheduler = leader.dispatcher._schedulers['model']
            assert leader.dispatcher._quotas._quotas is quotas
            return scheduler.reservation_count
        finally:
            leader.dispatcher.stop()

    assert asyncio.run(work()) == 2


# Guards against capacity that is reserved for a stream whose host was told
# to look for another leader.
def test_a_stream_that_waited_when_the_lease_lapsed_is_not_placed_later(
    monkeypatch,
):
    monkeypatch.setattr(dispatcher_module, 'RESTORE_PERIOD_S', 0.0)

    async def work():
        leader = test_dispatcher.Leader()
        leader.dispatcher._node.routes_splitter = types.SimpleNamespace(
            split=_do_nothing
        )
        leader.replica.leads = True
        waiting = asyncio.create_task(
            leader.place('s', most_output_tokens=500_000)
        )
        await asyncio.sleep(0)
        leader.replica.leads = False
        leader.dispatcher.start()
        try:
            await _lapse(leader)
            assert await asyncio.wait_for(waiting, 0.5) is None
            await leader.place('t')
            return leader.dispatcher._schedulers['model'].streams
        finally:
            leader.dispatcher.stop()

    assert asyncio.run(work()) == 1


# Guards against a quota that a host decides on though it no longer leads, when
# its lease ended while it waited for what hosts had spent.
def test_a_host_whose_lease_ended_charges_no_quota(monkeypatch):
    monkeypatch.setattr(dispatcher_module, 'RESTORE_PERIOD_S', LAPSE_S)

    async def work():
        leader = test_dispatcher.Leader()
        charged = []
        monkeypatch.setattr(
            leader.dispatcher._quotas,
            'charge',
            lambda request, now_s: charged.append(request),
        )
        waiting = asyncio.create_task(
            leader.place('s', team='bank', quota_cost=5.0)
        )
        await asyncio.sleep(0)
        leader.replica.leads = False
        try:
            assert await asyncio.wait_for(waiting, 2 * LAPSE_S) is None
        finally:
            waiting.cancel()
        return charged

    assert not asyncio.run(work())


# Guards against a wait that begins before the host is elected.
def test_a_candidate_begins_no_term():
    async def work():
        leader = test_dispatcher.Leader()
        leader.replica.term = 7
        leader.replica.leads = False
        leader.dispatcher.note_streams([])
        leader.dispatcher.note_spent('h', {}, {})
        assert leader.dispatcher.term == 0

    asyncio.run(work())


async def _do_nothing(state):
    """Split no routes."""


@pytest.fixture(autouse=True)
def _no_orders(monkeypatch):
    monkeypatch.setattr(
        dispatcher_module.Dispatcher, '_reconcile_stages', lambda self: None
    )
