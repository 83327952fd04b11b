"""Answers that stop in their head, or one byte before their end."""

import asyncio
import contextlib
import pathlib
import socket
import ssl
import struct

import pytest

from limpetroute.wire import call_failed
from limpetroute.wire import caller
from limpetroute.wire import connection_pool

TLS = pathlib.Path(__file__).resolve().parents[1] / 'tls'
GOOD = b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood'
CHUNKED = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
HEADS = (
    b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\nRunner-Stamp: s\r\n\r\n',
    CHUNKED,
    b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n',
    b'HTTP/1.0 200 OK\r\nRunner-Stamp: s\r\n\r\n',
    b'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nA: b\r\n\r\n',
    b'HTTP/1.1 200 OK\nRunner-Stamp: s\nContent-Length: 4\n\n',
)
CUT_BODIES = (
    b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngoo',
    CHUNKED + b'4\r\ngood\r\n0\r\n\r',
    CHUNKED + b'4\r\ngoo',
)
ENDS = ('close', 'reset', 'stay open')
TIMEOUT_S = 0.5
# Answers that are played at the same time.
AT_ONCE = 40


class _Ignored:
    """Counts nothing."""

    def opened(self):
        pass

    def reused(self):
        pass

    def dropped(self, reason):
        pass


class Server:
    """Gives the answer that the path of a request names."""

    def __init__(self, end, context=None):
        self._end = end
        self._context = context
        self.cuts = []
        self._writers = set()

    async def __aenter__(self):
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', 0, ssl=self._context
        )
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *exc):
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()
        await asyncio.sleep(0)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                number = head.split(b' ')[1][1:]
                if number == b'good':
                    writer.write(GOOD)
                    continue
                writer.write(self.cuts[int(number)])
                await writer.drain()
                await self._end_it(reader, writer)
                return

    async def _end_it(self, reader, writer):
        if self._end == 'stay open':
            await reader.read()
        elif self._end == 'reset':
            # What was sent is to arrive before.
            await asyncio.sleep(0.02)
            sock = writer.get_extra_info('socket')
            if sock is not None and not writer.is_closing():
                linger = struct.pack('ii', 1, 0)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()
        else:
            writer.close()


def _cuts():
    found = [head[:size] for head in HEADS for size in range(len(head))]
    return [*found, *CUT_BODIES]


def _pool():
    return connection_pool.ConnectionPool(
        max_idle_s=2.0,
        user_timeout_s=0.5,
        is_enabled=lambda: True,
        observer=_Ignored(),
    )


def _contexts():
    server = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    server.load_cert_chain(TLS / 'server.pem', TLS / 'server.key')
    client = ssl.create_default_context(cafile=TLS / 'ca.pem')
    client.check_hostname = False
    return server, client


# Guards against an answer that stops in its head and is taken for a whole one.
@pytest.mark.parametrize('end', ENDS)
@pytest.mark.parametrize('is_kept', [False, True])
@pytest.mark.parametrize('has_tls', [False, True])
def test_a_cut_answer_is_no_reply(end, is_kept, has_tls):
    async def work():
        of_server, of_client = _contexts() if has_tls else (None, None)
        scheme = 'https' if has_tls else 'http'
        async with Server(end, of_server) as server:
            server.cuts = _cuts()
            limit = asyncio.Semaphore(AT_ONCE)

            async def ask(number):
                pool = _pool() if is_kept else None
                http = caller.Caller(tls=of_client, pool=pool)
                url = f'{scheme}://127.0.0.1:{server.port}'
                async with limit:
                    if is_kept:
                        good = await http.call(
                            method='GET', url=f'{url}/good', timeout_s=5.0
                        )
                        assert good.body == b'good'
                    got = await http.call(
                        method='GET',
                        url=f'{url}/{number}',
                        timeout_s=TIMEOUT_S,
                    )
                    if pool is not None:
                        pool.close()
                return got

            numbers = range(len(server.cuts))
            return server.cuts, await asyncio.gather(*map(ask, numbers))

    cuts, replies = asyncio.run(work())
    taken = [
        (cut, got)
        for cut, got in zip(cuts, replies, strict=True)
        if not isinstance(got, call_failed.CallFailed)
    ]
    assert not taken
    # The run shows nothing about requests that were not sent.
    assert sum(got.sent for got in replies) > 0.9 * len(cuts)
