"""The bound on the memory of requests' bodies."""

import asyncio
import socket

from limpetroute.border import forwarder_settings
from limpetroute.forwarding import server as server_module
from limpetroute.platform import http_dialect
from tests.forwarding import harness
from tests.forwarding import scripted_runner
from tests.routing import builders

MAX_BODIES_BYTES = 1 << 20
FITS = b'w' * (3 << 18)


async def _answer(request, writer):
    writer.write(scripted_runner.response(b'whole answer'))
    await writer.drain()


async def _hang(request, writer):
    await asyncio.sleep(30.0)


class _Host:
    """An entry host with little memory for bodies, and one runner."""

    def __init__(self, work):
        self.runner = scripted_runner.ScriptedRunner(work)

    async def __aenter__(self):
        await self.runner.start()
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
                'max_bodies_bytes': MAX_BODIES_BYTES,
            }
        )
        self.server = server_module.ForwarderServer(
            settings=settings,
            dialect=http_dialect.HttpDialect(),
            ready_path='/ready',
            read_seeds=list,
        )
        self.server.view.plan = builders.make_plan(builders.make_route())
        plain = builders.make_runner('p', None, port=self.runner.port)
        self.server.view._by_service = {'plain': [plain]}
        self.server.view._runners = {'p': plain}
        self.server.start()
        return self

    async def __aexit__(self, *exc):
        await self.server._front.close()
        self.server._front.stop_listening()
        self.server._admin.close()
        await self.runner.stop()

    @property
    def used_bytes(self):
        return self.server._context.request_buffers.used_bytes

    async def open(self, body, length=None, fields=''):
        """Send a request, or the first part of one."""
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', self.server.port
        )
        length = len(body) if length is None else length
        writer.write(
            'POST /a/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: q\r\n'
            f'{fields}Content-Length: {length}\r\n\r\n'.encode()
            + body
        )
        return reader, writer

    async def until_used(self, count):
        async with asyncio.timeout(5.0):
            while self.used_bytes != count:
                await asyncio.sleep(0.01)


# Guards against a wait for the end of a body that finds no memory.
def test_a_body_that_does_not_fit_is_refused_before_it_is_sent():
    async def work():
        async with _Host(_hang) as host:
            first = await host.open(FITS)
            await host.until_used(len(FITS))
            reader, writer = await host.open(b'w', length=len(FITS))
            head = await asyncio.wait_for(
                reader.readuntil(b'\r\n\r\n'), timeout=2.0
            )
            # The caller that sends the rest first gets the answer as well.
            writer.write(FITS[1:])
            rest = await asyncio.wait_for(reader.read(), timeout=2.0)
            sent = len(host.runner.requests)
            first[1].close()
            await host.until_used(0)
            return head, rest, sent

    head, rest, sent = asyncio.run(work())
    assert harness.status(head) == 503
    assert b'Retry-After' in head
    assert b'no memory' in rest
    assert sent == 1


# Guards against memory that is kept for callers that stall or leave.
def test_an_upload_that_stalls_uses_only_what_it_has_sent():
    async def work():
        async with _Host(_answer) as host:
            stalled = [
                await host.open(b'w' * 1000, length=len(FITS))
                for _ in range(10)
            ]
            await host.until_used(10_000)
            reader, writer = await host.open(
                FITS, fields='Connection: close\r\n'
            )
            got = await asyncio.wait_for(reader.read(), timeout=5.0)
            writer.close()
            for _, one in stalled:
                one.close()
            await host.until_used(0)
            return got

    assert asyncio.run(work()).endswith(b'whole answer')


# Guards against a body that a kept connection holds after its answer.
def test_a_body_is_returned_with_its_answer():
    async def work():
        async with _Host(_answer) as host:
            reader, writer = await host.open(FITS)
            await asyncio.wait_for(reader.readuntil(b'whole answer'), 5.0)
            await host.until_used(0)
            [request] = host.runner.requests
            writer.close()
            return request

    asyncio.run(work())


# Guards against bytes of a large body that are lost or doubled on the way.
def test_a_body_in_many_chunks_reaches_the_runner_unchanged():
    body = bytes(range(256)) * 2000
    seen = []

    async def keep(request, writer):
        seen.append(request)
        await _answer(request, writer)

    async def work():
        async with _Host(keep) as host:
            reader, writer = await host.open(b'', length=len(body))
            sock = writer.get_extra_info('socket')
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            for start in range(0, len(body), 30_001):
                writer.write(body[start : start + 30_001])
                await writer.drain()
            await asyncio.wait_for(reader.readuntil(b'whole answer'), 5.0)
            writer.close()

    asyncio.run(work())
    assert seen[0].body == body
