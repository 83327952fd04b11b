"""Tests that a stopping host aborts no request."""

import asyncio
import dataclasses

import pytest

from limpetroute.border import forwarder_settings
from limpetroute.forwarding import server as server_module
from limpetroute.platform import http_dialect
from limpetroute.routing import route
from limpetroute.routing import route_kind
from tests.forwarding import harness
from tests.forwarding import keeping_runner
from tests.forwarding import scripted_runner
from tests.routing import builders

GRACE_S = 6.0
# Timeout of a route whose calls take almost as long.
LONG_S = 2.0
SHORT_S = 0.8


async def _endless(request, writer):
    writer.write(scripted_runner.STREAM_HEAD)
    for number in range(10_000):
        chunk = scripted_runner.chunk(scripted_runner.event(number))
        writer.write(chunk)
        await writer.drain()
        await asyncio.sleep(0.05)


async def _slow(request, writer):
    await asyncio.sleep(0.3)
    writer.write(scripted_runner.response(b'whole answer'))
    await writer.drain()


async def _as_long_as_allowed(request, writer):
    await asyncio.sleep(LONG_S - 0.2)
    writer.write(scripted_runner.response(b'whole answer'))
    await writer.drain()


async def _start(plain, decode):
    settings = forwarder_settings.ForwarderSettings.model_validate(
        {
            'host_id': 'e1',
            'zone': 'a',
            'demo': True,
            'callers': '127.0.0.1:0',
            'ready': '127.0.0.1:0',
            'metrics': '127.0.0.1:0',
            'seeds': [],
            'control_port': 1,
            'grace_s': GRACE_S,
        }
    )
    server = server_module.ForwarderServer(
        settings=settings,
        dialect=http_dialect.HttpDialect(),
        ready_path='/ready',
        read_seeds=list,
    )
    server.view.plan = builders.make_plan(
        builders.make_route(),
        builders.make_route(path_prefix='/long/', timeout_s=LONG_S),
        builders.make_route(path_prefix='/short/', timeout_s=SHORT_S),
        builders.make_route(
            path_prefix='/s/',
            kind=route_kind.RouteKind.STREAM,
            timeout_s=20.0,
            shares=(route.Share(service='model', weight=1.0),),
        ),
        services=(
            builders.make_service(),
            builders.make_service('model', builders.ENGINE),
        ),
    )
    plain_runner = builders.make_runner('p', None, port=plain.port)
    plain_runner = dataclasses.replace(plain_runner, service='plain')
    decode_runner = builders.make_runner('d', port=decode.port)
    server.view._by_service = {
        'plain': [plain_runner],
        'model': [decode_runner],
    }
    server.view._runners = {'p': plain_runner, 'd': decode_runner}
    server.start()
    return server


async def _call(server, target, headers=''):
    reader, writer = await asyncio.open_connection('127.0.0.1', server.port)
    writer.write(
        f'GET {target} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: q\r\n'
        f'Deadline-Ms: 9000\r\n{headers}\r\n'.encode()
    )
    try:
        return await reader.read()
    finally:
        writer.close()


def test_calls_that_arrive_until_the_end_are_not_aborted():
    """Guards against aborted plain calls at the end of a host.

    A long stream keeps a stopping host running. Its zone has no other
    host, so the load balancer still sends calls. The host accepted calls
    until the last moment and then aborted them, so their callers could not
    know whether they had been executed.
    """

    async def work():
        plain = await scripted_runner.ScriptedRunner(_slow).start()
        decode = await scripted_runner.ScriptedRunner(_endless).start()
        server = await _start(plain, decode)
        stream = asyncio.create_task(
            _call(server, '/s/x', harness.STREAM_HEADERS)
        )
        while not decode.requests:
            await asyncio.sleep(0.01)
        stopping = asyncio.create_task(server.stop())
        answers = []
        while not stopping.done():
            try:
                answers.append(await _call(server, '/a/x'))
            except OSError:
                # Refused or reset before it was read, so nothing ran.
                await asyncio.sleep(0.05)
        await stopping
        stream.cancel()
        await plain.stop()
        await decode.stop()
        return answers

    answers = asyncio.run(work())
    assert len(answers) > 8
    for got in answers:
        assert harness.status(got) in (200, 503), got
        if harness.status(got) == 200:
            assert got.endswith(b'whole answer')


async def _begin_again(server, target, stopping):
    """Send a request on each of many kept connections while a host stops.

    Returns when each was sent, before the abort, and its answer.
    """
    loop = asyncio.get_running_loop()
    abort_s = loop.time() + GRACE_S - server_module.ABORT_MARGIN_S

    async def use(number):
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', server.port
        )
        await asyncio.sleep(number * 0.1)
        sent_s = loop.time()
        try:
            writer.write(
                f'GET {target} HTTP/1.1\r\nHost: h.example\r\n'
                f'Request-Id: q{number}\r\n\r\n'.encode()
            )
            return abort_s - sent_s, await reader.read()
        except OSError:
            return abort_s - sent_s, b''
        finally:
            writer.close()

    used = [use(number) for number in range(int(GRACE_S * 10))]
    answers = await asyncio.gather(*used)
    await stopping
    return [pair for pair in answers if pair[0] > 0]


# Guards against calls that are cut off in the middle of their run, as the time
# from which a stopping host takes none did not go by their route.
@pytest.mark.parametrize(
    ('target', 'work', 'limit_s'),
    [('/long/x', _as_long_as_allowed, LONG_S), ('/short/x', _slow, SHORT_S)],
)
def test_calls_of_any_route_are_answered_or_refused(target, work, limit_s):
    async def play():
        plain = await scripted_runner.ScriptedRunner(work).start()
        decode = await scripted_runner.ScriptedRunner(_endless).start()
        server = await _start(plain, decode)
        stream = asyncio.create_task(
            _call(server, '/s/x', harness.STREAM_HEADERS)
        )
        while not decode.requests:
            await asyncio.sleep(0.01)
        stopping = asyncio.create_task(server.stop())
        answers = await _begin_again(server, target, stopping)
        stream.cancel()
        await plain.stop()
        await decode.stop()
        return answers

    answers = asyncio.run(play())
    served = [
        left_s for left_s, got in answers if got.endswith(b'whole answer')
    ]
    refused = [left_s for left_s, got in answers if harness.status(got) == 503]
    assert len(served) + len(refused) == len(answers)
    assert refused
    # All calls that are sure to end in time are served.
    assert limit_s < min(served) < limit_s + 0.8


# Guards against streams that a stopping host accepts, that wait for a place
# and are cut off as they start too late.
def test_a_stream_that_waits_too_long_at_a_stopping_host_is_refused(
    monkeypatch,
):
    monkeypatch.setattr(server_module, 'OUT_OF_ROTATION_S', 0.1)

    async def work():
        decode = await scripted_runner.ScriptedRunner(_endless).start()
        server = await _start(decode, decode)

        async def hold(request, hints):
            await asyncio.sleep(GRACE_S)

        server._context.scheduler.request_placement = hold
        first = asyncio.create_task(
            _call(server, '/s/x', harness.STREAM_HEADERS)
        )
        stopping = asyncio.create_task(server.stop())
        await asyncio.sleep(0.3)
        got = await _call(server, '/s/x', harness.STREAM_HEADERS)
        first.cancel()
        await stopping
        await decode.stop()
        return got, len(decode.requests)

    got, sent = asyncio.run(work())
    assert harness.status(got) == 503
    assert not sent


def test_a_stopped_host_leaves_no_idle_connection(monkeypatch):
    """Guards against connections that a stopped host holds at runners."""
    monkeypatch.setattr(server_module, 'OUT_OF_ROTATION_S', 0.1)

    async def work():
        plain = await keeping_runner.KeepingRunner().start()
        server = await _start(plain, plain)
        connections = server._context.connections
        server._context.balancing.note('shared', leases_plain_slots=True)
        await _call(server, '/a/x', 'Connection: close\r\n')
        assert connections.idle == 1
        await server.stop()
        assert connections.idle == 0
        await asyncio.sleep(0.05)
        assert all(one.is_closing() for one in plain.writers)
        await plain.stop()

    asyncio.run(work())
