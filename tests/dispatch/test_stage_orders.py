"""Orders to runners: one holder, one at a time, after a quiet time."""

import asyncio
import json

from limpetroute.dispatch import stage_orders
from limpetroute.platform import orders
from limpetroute.wire import reply
from tests.routing import builders


class Calls:
    """Stands in for the client and keeps what was ordered."""

    def __init__(self):
        self.bodies = []

    async def call(self, *, method, url, body=b'', **rest):
        if method == 'GET':
            return reply.Reply(status=503, headers={}, body=b'')
        self.bodies.append({'url': url, **json.loads(body)})
        return reply.Reply(status=202, headers={}, body=b'')


def make_orders(calls):
    return stage_orders.StageOrders(
        holder='c1', codec=orders.Orders(), http=calls
    )


def fleet(*stages, prefix='r'):
    return [
        builders.make_runner(f'{prefix}{n}', stage, port=n + 1)
        for n, stage in enumerate(stages)
    ]


def service(name='model'):
    return builders.make_service(name, builders.ENGINE)


def play(calls, given, *, term=1, seconds=20.0, services=('model',)):
    """Look at the fleets every 50 ms, as the dispatcher does."""

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


def test_one_reader_too_many_is_ordered_to_write_with_the_term_as_fence():
    calls = Calls()
    runners = fleet(builders.PREFILL, builders.PREFILL, builders.DECODE)
    play(calls, {'model': runners}, term=7, seconds=10)
    (order,) = calls.bodies
    assert (order['stage'], order['holder']) == ('decode', 'c1')
    assert order['fence'] == 7


def test_a_new_leader_gives_no_order_for_longer_than_a_lease():
    """The leader before may have given its last order just now.

    Engines that do not look at fencing numbers would take orders of
    both in turn, and runners would change back and forth.
    """
    calls = Calls()
    runners = fleet(builders.PREFILL, builders.PREFILL, builders.DECODE)
    play(calls, {'model': runners}, term=2, seconds=3.4)
    assert not calls.bodies
    play(calls, {'model': runners}, term=2, seconds=4.0)
    assert len(calls.bodies) == 1


def test_an_order_without_effect_is_given_again_only_after_long():
    """It may have got no answer and be carried out seconds later."""
    calls = Calls()
    runners = fleet(builders.PREFILL, builders.PREFILL, builders.DECODE)
    play(calls, {'model': runners}, seconds=13)
    assert len(calls.bodies) == 1
    calls.bodies.clear()
    play(calls, {'model': runners}, seconds=20)
    assert len(calls.bodies) == 2


def test_two_services_do_not_unsettle_each_other():
    """With one memory for all services, none of them ever settled."""
    calls = Calls()
    many = (builders.PREFILL, builders.PREFILL, builders.DECODE)
    given = {'one': fleet(*many), 'two': fleet(*many, prefix='s')}
    play(calls, given, seconds=5, services=('one', 'two'))
    assert len(calls.bodies) == 2


def test_a_runner_counts_as_changing_until_it_announces_its_new_stage():
    """For six seconds it refuses all, and its heartbeats say as before.

    Given work all the while, it refused some ten prompts and streams,
    each of which had to find another place.
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
    assert seen[3.0] == frozenset({'r1'})
    assert seen[7.95] == frozenset({'r1'})
    assert seen[8.05] == frozenset()


def test_runners_that_announce_themselves_late_spare_an_order():
    """Of four runners, the two readers are heard of 2.4 s after the rest.

    Decided on the first two, one of them was ordered to read and back
    again: away for twelve seconds, five of them with callers waiting.
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
    """Answers questions for reports, too."""

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


def test_a_new_leader_learns_of_a_change_that_it_did_not_order():
    """A leader orders the second reader to write and is killed.

    The runner ends its streams first and is away for ten seconds. The
    next leader saw two readers and none that changes, ordered the other
    one too, and for ten seconds nobody read.
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


def test_the_last_reader_that_leaves_is_replaced_soon():
    """A release replaces all runners, and the new ones write.

    Each old one that was gone for good started the wait anew, and the
    order came 6.2 s after the last reader had left: 30 streams of others
    paused meanwhile as decode runners read prompts.
    """

    async def work():
        calls = Calls()
        controller = make_orders(calls)
        controller.begin_term(1, 0.0)
        decode = builders.DECODE
        reader = builders.make_runner('p', builders.PREFILL)
        left = builders.make_runner('p', builders.PREFILL, ready=False)
        others = fleet(decode, decode, decode)
        old = fleet(decode, decode, prefix='old')
        for tick in range(400):
            now_s = tick * 0.05
            runners = [*others, reader if now_s < 10.0 else left]
            # One of the old ones is forgotten every second.
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


def first_order(runners_at, *, gone_at=None, seconds=20.0):
    """Return the first order and its time, or None."""

    async def work():
        calls = Calls()
        controller = make_orders(calls)
        controller.begin_term(1, 0.0)
        now_s = 0.0
        while now_s < seconds:
            gone_s = gone_at(now_s) if gone_at else {}
            controller.reconcile(
                service(), runners_at(now_s), now_s, gone_s=gone_s
            )
            await asyncio.sleep(0)
            if calls.bodies:
                return now_s, calls.bodies[0]['stage']
            now_s += 0.05
        return None

    return asyncio.run(work())


def two_writers_and_a_reader_that_leaves(now_s):
    writers = fleet(builders.DECODE, builders.DECODE)
    ready = now_s < 10.0
    return [
        *writers,
        builders.make_runner('p', builders.PREFILL, ready=ready),
    ]


def test_of_two_writers_none_is_taken_away_at_once():
    """The reader leaves, and half a second later a writer crashes.

    The order of the moment between took the other writer away for
    eleven seconds, and nobody wrote until a runner had changed back.
    """
    at_s, stage = first_order(two_writers_and_a_reader_that_leaves)
    assert stage == 'prefill'
    assert 13.9 < at_s < 14.3


def test_the_last_writer_that_answers_is_not_taken_away():
    """The other one is dark, and its registration stands."""
    assert not first_order(
        two_writers_and_a_reader_that_leaves,
        gone_at=lambda now_s: {'r1': 1.0} if now_s > 10.5 else {},
    )


def test_a_reader_writes_where_no_writer_comes_back():
    """The only writer is gone for good, and its registration stands.

    The reader that was left has nobody to read for: without an order it
    stood idle while every caller was refused.
    """
    at_s, stage = first_order(
        lambda now_s: fleet(builders.PREFILL, builders.DECODE),
        gone_at=lambda now_s: {'r1': now_s - 10.0} if now_s > 10.0 else {},
    )
    assert stage == 'decode'
    assert 15.9 < at_s < 16.3
