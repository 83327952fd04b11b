"""Runners that restart under the same identity."""

import asyncio

from limpetroute.dispatch import stage_orders
from limpetroute.platform import orders
from limpetroute.routing import placement
from limpetroute.routing import stream_scheduler
from limpetroute.wire import reply
from tests.routing import builders


def make_end(name, failed):
    return placement.Release(request_id=name, failed=(failed,))


def test_a_restarted_runner_has_all_its_slots_free():
    """Guards against reservations that outlive a runner's crash.

    A runner crashes with all slots in use and restarts at once. Entry hosts
    report the ends of its streams one by one; until then, the reservations
    of the old process would keep new streams from an idle runner.
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


def test_failures_before_a_restart_do_not_eject_a_runner():
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
    """Accepts every order and carries out none."""

    def __init__(self):
        self.given = 0

    async def call(self, *, method, **rest):
        self.given += method == 'POST'
        return reply.Reply(status=202, headers={}, body=b'')


def test_an_order_is_given_again_after_a_restart():
    """Guards against waiting for an order that a crash has cancelled.

    A runner accepts an order, crashes and restarts in its old stage. If the
    order still counted, the runner would be considered changing for
    fourteen seconds and get no requests.
    """

    async def work():
        http = Accepting()
        controller = stage_orders.StageOrders(
            holder='c1',
            codec=orders.Orders(),
            http=http,
            lease_remaining_s=lambda term: 1.0,
            handover_s=4.0,
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
