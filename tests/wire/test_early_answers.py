"""Answers that come before their request has been read."""

import asyncio
import contextlib
import socket
import struct

import pytest

from limpetroute.wire import call_failed
from limpetroute.wire import caller
from tests.wire import test_cut_answers

# More than a server has received that reads nothing, and less.
UPLOAD = b'u' * 4_000_000
RECEIVED = b'r' * 30_000
RECEIVE_BUFFER_BYTES = 1 << 16
# Time from an answer to its server's end, and to the reset after that.
END_S = 0.02
RESET_S = 2.0
PART = b'the first part'
LINGER_RESET = struct.pack('ii', 1, 0)
LENGTH = f'Content-Length: {len(PART)}\r\n'
CHUNKED = b'%x\r\n%s\r\n0\r\n\r\n' % (len(PART), PART)


def _head(status, headers='', version='1.1'):
    return f'HTTP/{version} {status} X\r\n{headers}\r\n'.encode()


class _Server:
    """Answers a request whose body it has read or not, and ends."""

    def __init__(self, answer, *, reads_body, resets, context):
        self._answer = answer
        self._reads_body = reads_body
        self._resets = resets
        self._context = context
        self._writers = set()

    async def __aenter__(self):
        listening = socket.socket()
        listening.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        listening.bind(('127.0.0.1', 0))
        self.port = listening.getsockname()[1]
        self._server = await asyncio.start_server(
            self._serve, sock=listening, ssl=self._context
        )
        return self

    async def __aexit__(self, *exc):
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()
        await asyncio.sleep(0)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        sock = writer.get_extra_info('socket')
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                if b' /good ' not in head:
                    break
                writer.write(test_cut_answers.GOOD)
            if self._reads_body:
                await reader.readexactly(len(UPLOAD))
            else:
                writer.transport.pause_reading()
            writer.write(self._answer)
            await writer.drain()
            if self._resets != 'at once':
                await asyncio.sleep(END_S)
            sock.shutdown(socket.SHUT_WR)
            if self._resets == 'later':
                await asyncio.sleep(RESET_S)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            writer.transport.abort()


async def _upload(
    answer,
    *,
    reads_body=False,
    resets='later',
    has_tls=False,
    is_kept=False,
    body=UPLOAD,
):
    """Return the reply to an upload, or a `CallFailed`."""
    contexts = test_cut_answers._contexts() if has_tls else (None, None)
    async with _Server(
        answer, reads_body=reads_body, resets=resets, context=contexts[0]
    ) as server:
        pool = test_cut_answers._pool() if is_kept else None
        http = caller.Caller(tls=contexts[1], pool=pool)
        scheme = 'https' if has_tls else 'http'
        url = f'{scheme}://127.0.0.1:{server.port}'
        if is_kept:
            await http.call(method='GET', url=f'{url}/good', timeout_s=5.0)
        return await http.call(
            method='POST', url=f'{url}/x', body=body, timeout_s=5.0
        )


# Guards against a part of an answer that is taken for the whole one, as its
# server ended the connection while the request was still being written.
@pytest.mark.parametrize('has_tls', [False, True])
@pytest.mark.parametrize('is_kept', [False, True])
@pytest.mark.parametrize(
    'head',
    [
        _head(200),
        _head(201, 'Content-Type: text/event-stream\r\n'),
        _head(200, version='1.0'),
        _head(100) + _head(200),
        _head(100) * 3 + _head(200),
    ],
)
def test_a_success_without_a_length_needs_the_whole_request(
    has_tls, is_kept, head
):
    got = asyncio.run(_upload(head + PART, has_tls=has_tls, is_kept=is_kept))
    assert isinstance(got, call_failed.CallFailed)
    assert got.sent


# Guards against the same where the connection is reset right after its end.
def test_a_success_without_a_length_is_not_followed_by_a_reset():
    got = asyncio.run(_upload(_head(200) + PART, resets='at once', body=b'b'))
    assert isinstance(got, call_failed.CallFailed)


# Guards against the loss of answers that the pages allow: refusals of uploads,
# early answers that say where they end, and whole ones without a length.
@pytest.mark.parametrize('has_tls', [False, True])
@pytest.mark.parametrize(
    ('answer', 'reads_body'),
    [
        (_head(413) + PART, False),
        (_head(404, version='1.0') + PART, False),
        (_head(503) + PART, False),
        (_head(200, LENGTH) + PART, False),
        (_head(200, 'Transfer-Encoding: chunked\r\n') + CHUNKED, False),
        (_head(200) + PART, True),
        (_head(200, version='1.0') + PART, True),
    ],
)
def test_other_early_answers_stay_answers(has_tls, answer, reads_body):
    got = asyncio.run(_upload(answer, reads_body=reads_body, has_tls=has_tls))
    assert not isinstance(got, call_failed.CallFailed), got
    assert got.body == PART
    assert got.status == int(answer.split(b' ')[1])


# Guards against answers without a length that wait for what may follow their
# end: the server's system has received the request.
def test_a_success_without_a_length_ends_with_its_connection():
    async def work():
        started_s = asyncio.get_running_loop().time()
        got = await _upload(_head(200) + PART, body=RECEIVED)
        return got, asyncio.get_running_loop().time() - started_s

    got, took_s = asyncio.run(work())
    assert not isinstance(got, call_failed.CallFailed), got
    assert got.body == PART
    # The connection is reset later.
    assert took_s < END_S + RESET_S
