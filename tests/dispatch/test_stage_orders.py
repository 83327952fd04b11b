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

    async def call(self, *, url, body, **rest):
        self.bodies.append({'url': url, **json.loads(body)})
        return reply.Reply(status=202, headers={}, body=b'')


def make_orders(calls):
    return stage_orders.StageOrders(
        holder='c1', dialect=orders.Orders(), http=calls
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
        orders_ = make_orders(calls)
        orders_.begin_term(term, 0.0)
        now_s = 0.0
        while now_s < seconds:
            for name in services:
                orders_.keep(service(name), given[name], now_s)
            now_s += 0.05
            await asyncio.sleep(0)
        return orders_

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
