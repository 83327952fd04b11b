"""Orders of a leader whose lease ends before they reach the runner."""

import asyncio
import json
import socket
import types

import pytest

from limpetroute.dispatch import dispatcher as dispatcher_module
from limpetroute.dispatch import stage_orders
from limpetroute.platform import orders
from limpetroute.wire import caller
from limpetroute.wire import connection
from limpetroute.wire import delivery_bound
from tests.dispatch import test_dispatcher
from tests.routing import builders

ACCEPTED = b'HTTP/1.1 202 X\r\nContent-Length: 0\r\n\r\n'


class Runner:
    """A runner on a socket that records what it is sent."""

    def __init__(self, answers_orders=True):
        self._answers_orders = answers_orders
        self.fences = []
        self.ends = []
        self._writers = set()

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *exc):
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()
        await asyncio.sleep(0)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            head = await reader.readuntil(b'\r\n\r\n')
            if b'/api/order' in head:
                length = int(head.lower().split(b'content-length: ')[1][:3])
                body = json.loads(await reader.readexactly(length))
                self.fences.append(body['fence'])
            if self._answers_orders or b'/api/order' not in head:
                writer.write(ACCEPTED)
            if await reader.read() == b'':
                self.ends.append('closed')
        except asyncio.IncompleteReadError:
            self.ends.append('closed')
        except ConnectionResetError:
            self.ends.append('reset')
        finally:
            writer.close()


async def _give_an_order(runner, lease_remaining_s, seconds=0.2):
    """Have the stages of a service reconciled once an order is due."""
    controller = stage_orders.StageOrders(
        holder='c1',
        codec=orders.Orders(),
        http=caller.Caller(),
        lease_remaining_s=lease_remaining_s,
        handover_s=4.0,
    )
    controller.begin_term(3, 0.0)
    _reconcile(controller, runner, 0.0)
    await asyncio.sleep(0.1)
    _reconcile(controller, runner, 100.0)
    await asyncio.sleep(seconds)
    return controller


def _reconcile(controller, runner, now_s):
    runners = [
        builders.make_runner(f'r{n}', builders.PREFILL, port=runner.port)
        for n in range(2)
    ]
    service = builders.make_service('model', builders.ENGINE)
    controller.reconcile(service, runners, now_s)


# Guards against an order that is written after the lease of its term, when the
# host stood still between the decision and the write.
@pytest.mark.parametrize(
    ('remaining_s', 'fences'), [(0.3, [3]), (0.0, []), (-0.8, [])]
)
def test_an_order_is_written_within_its_lease(remaining_s, fences):
    async def work():
        async with Runner() as runner:
            await _give_an_order(runner, lambda *term: remaining_s)
            return runner.fences

    assert asyncio.run(work()) == fences


# Guards against a decision of one term that is sent in a later one.
def test_the_lease_is_that_of_the_orders_own_term():
    leader = asyncio.run(_leader())
    leader.replica.lease_remaining_s = lambda now_s: 0.5
    leader.replica.term = 4
    assert leader.dispatcher._lease_remaining_s(4) == 0.5
    assert leader.dispatcher._lease_remaining_s(3) < 0


async def _leader():
    return test_dispatcher.Leader()


# Guards against an order that was not sent and blocks its runner for seconds.
def test_an_order_that_was_not_sent_is_given_again():
    async def work():
        async with Runner() as runner:
            left = [0.0, 0.3]
            controller = await _give_an_order(runner, lambda *term: left[0])
            left.pop(0)
            _reconcile(controller, runner, 100.5)
            await asyncio.sleep(0.2)
            return runner.fences

    assert asyncio.run(work()) == [3]


# Guards against an order that the system sends after its sender gave it up.
def test_an_order_without_an_answer_is_reset(monkeypatch):
    monkeypatch.setattr(stage_orders, 'ORDER_TIMEOUT_S', 0.2)

    async def work():
        async with Runner(answers_orders=False) as runner:
            await _give_an_order(runner, lambda *term: 0.3, seconds=0.6)
            return runner.fences, runner.ends

    fences, ends = asyncio.run(work())
    assert fences == [3]
    assert 'reset' in ends


# Guards against an order that the system sends while its sender is stopped.
def test_the_system_bounds_the_delivery_of_an_order():
    async def work():
        async with Runner() as runner:
            timeouts_ms = []

            def may_write():
                timeout_ms = link._stream.socket.getsockopt(
                    socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT
                )
                timeouts_ms.append(timeout_ms)
                return True

            link = connection.Connection(
                host='127.0.0.1',
                port=runner.port,
                delivery=delivery_bound.DeliveryBound(
                    may_write=may_write, unacknowledged_s=0.7
                ),
            )
            await link.send(
                method='GET', path='/', headers={}, body=b'', timeout_s=2.0
            )
            link.close()
            return timeouts_ms

    assert asyncio.run(work()) == [700]


# Guards against orders of a leader whose lease ends as routes are split.
def test_no_order_is_considered_after_a_lease_that_ended_meanwhile(
    monkeypatch,
):
    considered = []
    monkeypatch.setattr(
        dispatcher_module.Dispatcher,
        '_reconcile_stages',
        lambda self: considered.append(self.leads),
    )

    async def work():
        leader = await _leader()

        async def split(state):
            leader.replica.leads = False

        leader.dispatcher._node.routes_splitter = types.SimpleNamespace(
            split=split
        )
        leader.dispatcher.start()
        await asyncio.sleep(3 * dispatcher_module.PASS_PERIOD_S)
        leader.dispatcher.stop()

    asyncio.run(work())
    assert not considered
