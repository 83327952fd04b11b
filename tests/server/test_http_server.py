"""The limits of a port, on a server in this process."""

import asyncio
import contextlib
import gc
import socket
import tracemalloc

import pytest
from tornado import web

from limpetroute.routing import connection_eviction
from limpetroute.server import http_server
from limpetroute.server import port_limits
from limpetroute.server import served_connection
from limpetroute.wire import buffer_budget

MAX_BODY_BYTES = 1 << 16
MAX_BYTES = 4 << 20
TIMEOUT_S = 10.0
HEAD = b'POST /echo HTTP/1.1\r\nHost: h\r\n'
CHUNKED = HEAD + b'Transfer-Encoding: chunked\r\n'


class _Echo(web.RequestHandler):
    def post(self):
        self.application.bodies.append(self.request.body)
        self.finish(self.request.body)

    def get(self):
        self.finish(b'a' * int(self.get_query_argument('size')))


class _Port:
    def __init__(self, server, application, number):
        self.server = server
        self.bodies = application.bodies
        self.number = number

    async def open(self, data):
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', self.number
        )
        writer.write(data)
        return reader, writer

    async def ask(self, data):
        """Send bytes; return all that comes until the connection ends."""
        reader, writer = await self.open(data)
        async with asyncio.timeout(TIMEOUT_S):
            got = await reader.read()
        writer.close()
        return got


@contextlib.asynccontextmanager
async def _port(max_bytes=MAX_BYTES, send_buffer_bytes=None, **limits):
    application = web.Application(
        [('/echo', _Echo)], log_function=lambda handler: None
    )
    application.bodies = []
    values = {'max_connections': 100, 'max_body_bytes': MAX_BODY_BYTES}
    server = http_server.HttpServer(
        delegate=application,
        name='test',
        limits=port_limits.PortLimits(**{**values, **limits}),
        memory=buffer_budget.BufferBudget(
            max_body_bytes=max_bytes, max_total_bytes=max_bytes
        ),
    )
    sockets = http_server.bind_sockets('127.0.0.1', 0)
    if send_buffer_bytes is not None:
        sockets[0].setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, send_buffer_bytes
        )
    server.accept(sockets)
    number = sockets[0].getsockname()[1]
    try:
        yield _Port(server, application, number)
    finally:
        server.stop()
        await server.close_all_connections()
        await asyncio.sleep(0)
        assert server.memory.used_bytes == 0


BUSY_BYTES = (
    served_connection.CONNECTION_BYTES + served_connection.ACTIVE_BYTES
)


def _request(body, *, close=True, fields=b''):
    fields += b'Connection: close\r\n' if close else b''
    return b'%sContent-Length: %d\r\n%s\r\n%s' % (
        HEAD,
        len(body),
        fields,
        body,
    )


def _run(work):
    return asyncio.run(work())


# Guards against a request that is lost, or joined to a body, if it is sent
# right behind the end of another one.
def test_a_request_behind_a_chunked_body_is_served():
    async def work():
        async with _port() as port:
            first = CHUNKED + b'\r\n5\r\nfirst\r\n0\r\n\r\n'
            got = await port.ask(first + _request(b'second'))
            return got, port.bodies

    got, bodies = _run(work)
    assert bodies == [b'first', b'second']
    assert got.count(b'HTTP/1.1 200') == 2


# Guards against a body over the limit that is read to its end, or reset
# before the client has the answer.
@pytest.mark.parametrize('size', [MAX_BODY_BYTES, MAX_BODY_BYTES + 1])
@pytest.mark.parametrize('chunked', [True, False])
def test_a_body_is_served_up_to_the_limit(size, chunked):
    async def work():
        async with _port() as port:
            body = b'w' * size
            request = _request(body)
            if chunked:
                fields = b'Connection: close\r\n\r\n'
                encoded = b'%x\r\n%s\r\n0\r\n\r\n' % (size, body)
                request = CHUNKED + fields + encoded
            return await port.ask(request), len(port.bodies)

    got, ran = _run(work)
    fits = size <= MAX_BODY_BYTES
    assert got.startswith(b'HTTP/1.1 200' if fits else b'HTTP/1.1 413')
    assert ran == fits


# Guards against a refusal that comes late or without a time for a retry.
def test_a_request_without_memory_is_refused_at_once():
    connections = 2 * BUSY_BYTES

    async def work():
        async with _port(max_bytes=connections + MAX_BODY_BYTES) as port:
            body = b'w' * (MAX_BODY_BYTES - 1)
            start = HEAD + b'Content-Length: %d\r\n\r\n' % MAX_BODY_BYTES
            _, writer = await port.open(start + body)
            async with asyncio.timeout(TIMEOUT_S):
                while port.server.memory.used_bytes < BUSY_BYTES + len(body):
                    await asyncio.sleep(0.01)
            got = await port.ask(start + body + b'w')
            writer.close()
            return got, port.bodies

    got, bodies = _run(work)
    assert got.startswith(b'HTTP/1.1 503')
    assert b'Retry-After' in got
    assert bodies == []


# Guards against stalled requests that keep the memory from others, and against
# a request that runs although its client was told that it never will.
def test_a_stalled_request_makes_way(monkeypatch):
    monkeypatch.setattr(connection_eviction, 'MIN_LAG_S', 0.2)
    connections = 3 * BUSY_BYTES

    async def work():
        async with _port(max_bytes=connections + MAX_BODY_BYTES) as port:
            body = b'w' * (MAX_BODY_BYTES - 1)
            start = HEAD + b'Content-Length: %d\r\n\r\n' % MAX_BODY_BYTES
            reader, writer = await port.open(start + body)
            await asyncio.sleep(0.4)
            got = await port.ask(_request(b'v' * MAX_BODY_BYTES))
            with contextlib.suppress(OSError):
                writer.write(b'w')
                await writer.drain()
            async with asyncio.timeout(TIMEOUT_S):
                refused = await reader.readline()
            writer.close()
            return got, refused, port.bodies

    got, refused, bodies = _run(work)
    assert got.startswith(b'HTTP/1.1 200')
    assert refused.startswith(b'HTTP/1.1 408')
    assert bodies == [b'v' * MAX_BODY_BYTES]


# Guards against a request that runs although its own search for memory closed
# its connection.
def test_a_request_that_made_way_for_itself_does_not_run(monkeypatch):
    monkeypatch.setattr(connection_eviction, 'MIN_LAG_S', 0.2)
    room = 2 * BUSY_BYTES + 32_000

    async def work():
        async with _port(max_bytes=room) as port:
            start = HEAD + b'Content-Length: 18000\r\n\r\n'
            reader, writer = await port.open(start + b'w' * 16_000)
            await asyncio.sleep(0.4)
            _, other = await port.open(start + b'w' * 15_000)
            await asyncio.sleep(0.05)
            writer.write(b'w' * 2_000)
            async with asyncio.timeout(TIMEOUT_S):
                refused = await reader.readline()
            await asyncio.sleep(0.1)
            writer.close()
            other.close()
            return refused, port.bodies

    refused, bodies = _run(work)
    assert refused.startswith(b'HTTP/1.1 408')
    assert bodies == []


# Guards against connections without a request that take all descriptors.
def test_an_unused_connection_makes_way(monkeypatch):
    monkeypatch.setattr(connection_eviction, 'MIN_LAG_S', 0.2)

    async def work():
        async with _port(max_connections=4) as port:
            opened = [await port.open(b'') for _ in range(4)]
            await asyncio.sleep(0.4)
            got = await port.ask(_request(b'w'))
            for _, writer in opened:
                writer.close()
            return got

    assert _run(work).startswith(b'HTTP/1.1 200')


# Guards against answers that fill the memory because nobody takes them.
def test_answers_that_are_not_taken_are_bounded():
    count = 40
    size = 1 << 20

    async def work():
        async with _port(max_bytes=8 << 20) as port:
            request = b'GET /echo?size=%d HTTP/1.1\r\nHost: h\r\n\r\n' % size
            opened = []
            for _ in range(count):
                sock = socket.socket()
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                sock.connect(('127.0.0.1', port.number))
                sock.sendall(request)
                opened.append(sock)
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.2)
            used = port.server.memory.used_bytes
            for sock in opened:
                sock.close()
            return used

    assert _run(work) <= 8 << 20


# Guards against answers that stay in memory as a whole, while only the part
# that its client has not taken is counted.
def test_the_part_of_an_answer_that_is_taken_is_released():
    count = 20
    size = 4 << 20
    untaken = 1 << 18
    max_bytes = 12 << 20

    async def take(port, request):
        sock = socket.socket()
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, ('127.0.0.1', port.number))
        await loop.sock_sendall(sock, request)
        taken = 0
        while taken < size - untaken:
            taken += len(await loop.sock_recv(sock, 1 << 16))
        return sock

    async def work():
        async with _port(max_bytes, send_buffer_bytes=1 << 14) as port:
            request = b'GET /echo?size=%d HTTP/1.1\r\nHost: h\r\n\r\n' % size
            tracemalloc.start()
            async with asyncio.timeout(TIMEOUT_S):
                opened = [await take(port, request) for _ in range(count)]
            held, _ = tracemalloc.get_traced_memory()
            tracemalloc.stop()
            used = port.server.memory.used_bytes
            for sock in opened:
                sock.close()
            return held, used

    held, used = _run(work)
    # All answers are still being sent.
    assert used > count * untaken // 2
    assert held < max_bytes


# Guards against answers that stay in memory after their clients have gone,
# until the next garbage collection.
def test_answers_to_clients_that_have_gone_are_released():
    count = 20
    size = 4 << 20
    max_bytes = 12 << 20

    async def work():
        async with _port(max_bytes) as port:
            request = b'GET /echo?size=%d HTTP/1.1\r\nHost: h\r\n\r\n' % size
            for _ in range(count):
                sock = socket.create_connection(('127.0.0.1', port.number))
                sock.sendall(request)
                sock.close()
                await asyncio.sleep(0.05)
            return tracemalloc.get_traced_memory()[0], len(port.server.table)

    gc.disable()
    tracemalloc.start()
    try:
        held, connections = _run(work)
    finally:
        tracemalloc.stop()
        gc.enable()
    assert connections == 0
    assert held < max_bytes


# Guards against a head that takes more memory than its bytes suggest.
def test_a_head_of_many_fields_counts_its_objects():
    async def work():
        async with _port() as port:
            fields = b''.join(b'a%d: b\r\n' % n for n in range(1000))
            start = HEAD + fields + b'Content-Length: 2\r\n\r\nw'
            _, writer = await port.open(start)
            await asyncio.sleep(0.1)
            used = port.server.memory.used_bytes
            writer.close()
            return used

    assert _run(work) >= 1000 * served_connection.FIELD_BYTES


# Guards against a slow client that is cut off although it goes on sending.
def test_only_silence_counts_as_a_timeout(monkeypatch):
    async def work():
        async with _port(idle_timeout_s=1.5) as port:
            start = HEAD + b'Connection: close\r\nContent-Length: 8\r\n\r\n'
            reader, writer = await port.open(start)
            for _ in range(8):
                await asyncio.sleep(0.4)
                writer.write(b'w')
            async with asyncio.timeout(TIMEOUT_S):
                slow = await reader.read()
            silent = await port.ask(start + b'w')
            return slow, silent, port.bodies

    slow, silent, bodies = _run(work)
    assert slow.startswith(b'HTTP/1.1 200')
    assert silent.startswith(b'HTTP/1.1 408')
    assert bodies == [b'w' * 8]
