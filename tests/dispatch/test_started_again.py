"""Runners that start again under the identity that they had."""

import asyncio

from limpetroute.dispatch import stage_orders
from limpetroute.platform import orders
from limpetroute.routing import placement
from limpetroute.routing import stream_scheduler
from limpetroute.wire import reply
from tests.routing import builders


def make_end(name, failed):
    return placement.Release(request_id=name, failed=(failed,))


def test_a_started_runner_has_all_its_places_again():
    """A runner crashes with all its places taken and is back at once.

    Its streams' hosts tell of their ends one by one. Counted until
    then, the streams of its earlier life keep new ones out of a runner
    that has nothing to do.
    """
    scheduler = stream_scheduler.StreamScheduler(engine=builders.ENGINE)
    runner = builders.make_runner('d1')
    for n in range(builders.ENGINE.slots):
        scheduler.submit(builders.make_request(f's{n}', prompt_tokens=10), 0.0)
        scheduler.decide([runner], float(n))
        scheduler.note_first_event(f's{n}', 0, 0.01, float(n))
    assert scheduler.reservation_count == builders.ENGINE.slots
    scheduler.reset_runner('d1')
    assert scheduler.reservation_count == 0


def test_failures_of_an_earlier_life_keep_no_runner_at_rest():
    scheduler = stream_scheduler.StreamScheduler(engine=builders.ENGINE)
    runners = [builders.make_runner('d1')]
    for n in range(4):
        scheduler.submit(builders.make_request(f's{n}'), 0.0)
        scheduler.decide(runners, 0.0)
        scheduler.release(make_end(f's{n}', 'd1'), 0.0)
    assert scheduler.gone_s(runners, 1.0)
    scheduler.reset_runner('d1')
    assert not scheduler.gone_s(runners, 1.0)


class Accepting:
    """Takes every order and never carries one out."""

    def __init__(self):
        self.given = 0

    async def call(self, **rest):
        self.given += 1
        return reply.Reply(status=202, headers={}, body=b'')


def test_an_order_of_an_earlier_life_is_given_again():
    """A runner accepts an order, crashes, and starts again as before.

    The order died with it. Waited for, the runner would be taken to be
    changing its stage for fourteen seconds and get no work.
    """

    async def work():
        http = Accepting()
        controller = stage_orders.StageOrders(
            holder='c1', codec=orders.Orders(), http=http
        )
        controller.begin_term(1, 0.0)
        service = builders.make_service('model', builders.ENGINE)
        runners = [builders.make_runner(f'r{n}', port=n) for n in range(1, 5)]
        now_s = 0.0
        while not http.given:
            controller.reconcile(service, runners, now_s)
            await asyncio.sleep(0)
            now_s += 0.05
        (ordered,) = controller.changing()
        again = [
            builders.make_runner(
                one.runner_id,
                port=one.port,
                started_ms=1000 if one.runner_id == ordered else 0,
            )
            for one in runners
        ]
        controller.reconcile(service, again, now_s)
        assert not controller.changing()

    asyncio.run(work())
