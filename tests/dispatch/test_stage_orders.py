"""Orders to runners: given by one leader, one at a time, after a delay."""

import asyncio
import json

import pytest

from limpetroute.dispatch import stage_orders
from limpetroute.platform import orders
from limpetroute.wire import reply
from tests.routing import builders

GAP_S = 3.0
HANDOVER_S = stage_orders.handover_s(gap_s=GAP_S, clock_drift=0.05)


class Calls:
    """Replaces the HTTP client and records the orders."""

    def __init__(self):
        self.bodies = []

    async def call(self, *, method, url, body=b'', **rest):
        if method == 'GET':
            return reply.Reply(status=503, headers={}, body=b'')
        self.bodies.append({'url': url, **json.loads(body)})
        return reply.Reply(status=202, headers={}, body=b'')


def make_orders(calls):
    return stage_orders.StageOrders(
        holder='c1',
        codec=orders.Orders(),
        http=calls,
        lease_remaining_s=lambda term: 1.0,
        handover_s=HANDOVER_S,
    )


def fleet(*stages, prefix='r'):
    return [
        builders.make_runner(f'{prefix}{n}', stage, port=n + 1)
        for n, stage in enumerate(stages)
    ]


def service(name='model'):
    return builders.make_service(name, builders.ENGINE)


def play(calls, given, *, term=1, seconds=20.0, services=('model',)):
    """Reconcile the fleets every 50 ms, as the dispatcher does."""

    async def work():
        controller = make_orders(calls)
        controller.begin_term(term, 0.0)
        now_s = 0.0
        while now_s < seconds:
            for name in services:
                controller.reconcile(service(name), given[name], now_s)
            now_s += 0.05
            await asyncio.sleep(0)
        return controller

    asyncio.run(work())


def test_a_surplus_prefill_runner_is_ordered_to_decode_with_the_term():
    calls = Calls()
    runners = fleet(builders.PREFILL, builders.PREFILL, builders.DECODE)
    play(calls, {'model': runners}, term=7, seconds=10)
    (order,) = calls.bodies
    assert (order['stage'], order['holder']) == ('decode', 'c1')
    assert order['fence'] == 7


@pytest.mark.parametrize('term', [1, 2])
def test_a_new_leader_gives_no_order_for_longer_than_a_lease(term):
    """Guards against runners that obey two leaders in turn.

    The previous leader may have given an order just before it lost its
    lease. Engines that ignore fencing numbers would follow both leaders and
    change back and forth. A group that was founded again begins with the first
    term, and its runners may know another leader.
    """
    calls = Calls()
    runners = fleet(builders.PREFILL, builders.PREFILL, builders.DECODE)
    play(calls, {'model': runners}, term=term, seconds=HANDOVER_S - 0.05)
    assert not calls.bodies
    play(calls, {'model': runners}, term=term, seconds=HANDOVER_S + 0.1)
    assert len(calls.bodies) == 1


# Guards against a wait that is shorter than the gap and the way of an order.
@pytest.mark.parametrize('gap_s', [0.5, 3.0, 9.0])
def test_orders_of_two_leaders_keep_the_gap_of_the_settings(gap_s):
    drift = 0.05
    wait_s = stage_orders.handover_s(gap_s=gap_s, clock_drift=drift)
    # The new leader's clock is fast; the last order came as late as it can.
    least_s = wait_s * (1 - drift)
    assert least_s - stage_orders.ORDER_DELIVERY_S >= gap_s - 1e-9


# Guards against delays that add up where leaders change every few seconds.
def test_an_order_is_due_at_the_end_of_the_wait():
    calls = Calls()
    runners = two_decode_runners_and_a_prefill_runner_that_leaves(11.0)
    # The change itself is delayed by 4 s, from the end of the settle time.
    seconds = stage_orders.FLEET_START_SETTLE_S + 4.1
    play(calls, {'model': runners}, term=5, seconds=seconds)
    assert [order['stage'] for order in calls.bodies] == ['prefill']


def test_an_order_without_effect_is_given_again_only_after_it_expires():
    """A runner may carry out an order seconds after it timed out."""
    calls = Calls()
    runners = fleet(builders.PREFILL, builders.PREFILL, builders.DECODE)
    play(calls, {'model': runners}, seconds=13)
    assert len(calls.bodies) == 1
    calls.bodies.clear()
    play(calls, {'model': runners}, seconds=20)
    assert len(calls.bodies) == 2


def test_two_services_do_not_unsettle_each_other():
    """Guards against state shared by all services.

    With shared state, the fleet of each service seemed to change in every
    pass, and no service ever settled.
    """
    calls = Calls()
    many = (builders.PREFILL, builders.PREFILL, builders.DECODE)
    given = {'one': fleet(*many), 'two': fleet(*many, prefix='s')}
    play(calls, given, seconds=5, services=('one', 'two'))
    assert len(calls.bodies) == 2


def test_a_runner_counts_as_changing_until_it_announces_its_new_stage():
    """Guards against placing streams at a runner that is changing stage.

    For six seconds the runner refuses all requests while its heartbeats
    still announce the old stage. It refused about ten prompts and streams,
    each of which had to be placed again.
    """

    async def work():
        controller = make_orders(Calls())
        controller.begin_term(1, 0.0)
        before = fleet(builders.PREFILL, builders.PREFILL, builders.DECODE)
        after = fleet(builders.PREFILL, builders.DECODE, builders.DECODE)
        seen = {}
        for tick in range(200):
            now_s = tick * 0.05
            runners = before if now_s < 8.0 else after
            controller.reconcile(service(), runners, now_s)
            await asyncio.sleep(0)
            seen[now_s] = controller.changing()
        return seen

    seen = asyncio.run(work())
    assert seen[0.0] == frozenset()
    assert seen[4.5] == frozenset({'r1'})
    assert seen[7.95] == frozenset({'r1'})
    assert seen[8.05] == frozenset()


def test_no_order_is_given_before_late_runners_have_announced_themselves():
    """Guards against orders based on a part of a starting fleet.

    Of four runners, the two prefill runners announce themselves 2.4 s after
    the decode runners. A decision on the first two ordered one of them to
    prefill and back: it was unavailable for twelve seconds, and callers
    waited for five of them.
    """

    async def work():
        calls = Calls()
        controller = make_orders(calls)
        controller.begin_term(1, 0.0)
        decode = builders.DECODE
        early = fleet(decode, decode)
        late = fleet(decode, decode, builders.PREFILL, builders.PREFILL)
        for tick in range(200):
            now_s = tick * 0.05
            controller.reconcile(
                service(), early if now_s < 2.4 else late, now_s
            )
            await asyncio.sleep(0)
        return calls

    (order,) = asyncio.run(work()).bodies
    assert order['stage'] == 'decode'


class Reports(Calls):
    """Also answers the query for a stage change."""

    def __init__(self, busy=()):
        super().__init__()
        self.busy = busy

    async def call(self, *, method, url, body=b'', headers=None, **rest):
        if method != 'GET':
            return await super().call(method=method, url=url, body=body)
        is_busy = headers['Expect-Instance'] in self.busy
        return reply.Reply(
            status=200,
            headers={},
            body=json.dumps({'busy': is_busy}).encode(),
        )


def test_a_new_leader_finds_a_change_that_it_did_not_order():
    """Guards against a second change while the first is in progress.

    A leader orders the second prefill runner to decode and is killed. The
    runner ends its streams first, which takes ten seconds. The next leader
    saw two prefill runners and no change, and ordered the other one too:
    for ten seconds there was no prefill runner.
    """

    async def work(calls):
        controller = make_orders(calls)
        controller.begin_term(2, 0.0)
        runners = fleet(builders.PREFILL, builders.PREFILL, builders.DECODE)
        for tick in range(200):
            controller.reconcile(service(), runners, tick * 0.05)
            await asyncio.sleep(0.001)
        return controller.changing()

    calls = Reports(busy=('r1',))
    assert asyncio.run(work(calls)) == frozenset({'r1'})
    assert not calls.bodies
    calls = Reports()
    assert asyncio.run(work(calls)) == frozenset({'r1'})
    assert len(calls.bodies) == 1


def test_the_last_prefill_runner_that_leaves_is_replaced_soon():
    """Guards against runners that leave and thereby delay an order.

    A release replaces all runners, and the new ones decode. Each old runner
    that was removed restarted the settle time, so the order came 6.2 s
    after the last prefill runner had left. Meanwhile 30 streams paused
    because decode runners had to prefill.
    """

    async def work():
        calls = Calls()
        controller = make_orders(calls)
        controller.begin_term(1, 0.0)
        decode = builders.DECODE
        prefill = builders.make_runner('p', builders.PREFILL)
        left = builders.make_runner('p', builders.PREFILL, ready=False)
        others = fleet(decode, decode, decode)
        old = fleet(decode, decode, prefix='old')
        for tick in range(400):
            now_s = tick * 0.05
            runners = [*others, prefill if now_s < 10.0 else left]
            # One old runner is removed each second.
            runners += [
                builders.make_runner(one.runner_id, decode, ready=False)
                for n, one in enumerate(old)
                if now_s < 11.0 + n
            ]
            controller.reconcile(service(), runners, now_s)
            await asyncio.sleep(0)
            if calls.bodies:
                return now_s, calls.bodies

    now_s, (order,) = asyncio.run(work())
    assert order['stage'] == 'prefill'
    assert 10.0 <= now_s < 10.2


def first_order(runners_at, *, gone_at=None, streams_at=None, seconds=20.0):
    """Return the first order and its time, or None."""

    async def work():
        calls = Calls()
        controller = make_orders(calls)
        controller.begin_term(1, 0.0)
        now_s = 0.0
        while now_s < seconds:
            gone_s = gone_at(now_s) if gone_at else {}
            controller.reconcile(
                service(),
                runners_at(now_s),
                now_s,
                gone_s=gone_s,
                streams=streams_at(now_s) if streams_at else 0,
            )
            await asyncio.sleep(0)
            if calls.bodies:
                return now_s, calls.bodies[0]['stage']
            now_s += 0.05
        return None

    return asyncio.run(work())


def two_decode_runners_and_a_prefill_runner_that_leaves(now_s):
    decode_runners = fleet(builders.DECODE, builders.DECODE)
    ready = now_s < 10.0
    return [
        *decode_runners,
        builders.make_runner('p', builders.PREFILL, ready=ready),
    ]


def test_neither_of_two_decode_runners_is_ordered_to_prefill_at_once():
    """Guards against an order that leaves no decode runner.

    The prefill runner leaves, and half a second later a decode runner
    crashes. An order given in between made the other decode runner
    unavailable for eleven seconds, and no stream was decoded until a runner
    had changed back.
    """
    at_s, stage = first_order(
        two_decode_runners_and_a_prefill_runner_that_leaves
    )
    assert stage == 'prefill'
    assert 13.9 < at_s < 14.3


def test_the_last_responsive_decode_runner_keeps_its_stage():
    """The other decode runner is unresponsive but still registered."""
    assert not first_order(
        two_decode_runners_and_a_prefill_runner_that_leaves,
        gone_at=lambda now_s: {'r1': 1.0} if now_s > 10.5 else {},
    )


def test_a_prefill_runner_decodes_where_no_decode_runner_comes_back():
    """Guards against an idle prefill runner while all callers are refused.

    The only decode runner is gone for good but still registered, so the
    prefill runner has no work until it is ordered to decode.
    """
    at_s, stage = first_order(
        lambda now_s: fleet(builders.PREFILL, builders.DECODE),
        gone_at=lambda now_s: {'r1': now_s - 10.0} if now_s > 10.0 else {},
    )
    assert stage == 'decode'
    assert 15.9 < at_s < 16.3


# Guards against an order that leaves too few slots for the streams of a
# burst: half of the callers were refused for as long as the change took.
def test_two_decode_runners_keep_their_stage_while_one_cannot_hold_all():
    assert not first_order(
        two_decode_runners_and_a_prefill_runner_that_leaves,
        streams_at=lambda now_s: 15,
    )


# Guards against a pool that never gets a prefill runner again.
def test_a_decode_runner_is_ordered_to_prefill_after_a_burst():
    at_s, stage = first_order(
        two_decode_runners_and_a_prefill_runner_that_leaves,
        streams_at=lambda now_s: 15 if now_s < 15.0 else 6,
        seconds=30.0,
    )
    assert stage == 'prefill'
    assert 18.9 < at_s < 19.3


# Guards against a prefill runner that has just come and is left idle while
# the last decode runner leaves and all callers are refused.
def test_the_only_runner_is_ordered_to_decode_without_a_delay():
    def runners_at(now_s):
        decode, *_ = fleet(builders.DECODE)
        runners = [decode]
        if now_s > 10.0:
            runners.append(builders.make_runner('p', builders.PREFILL))
        if now_s > 10.4:
            runners[0] = builders.make_runner(
                'r0', builders.DECODE, ready=False
            )
        return runners

    at_s, stage = first_order(runners_at)
    assert stage == 'decode'
    assert 10.4 < at_s < 10.6
