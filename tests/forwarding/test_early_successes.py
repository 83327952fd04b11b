"""Runners that answer an upload before they have read it, and break off."""

import asyncio
import socket
import struct

import pytest

from limpetroute.routing import route_kind
from tests.forwarding import harness
from tests.forwarding import scripted_runner
from tests.forwarding import test_cut_heads
from tests.forwarding import test_peers
from tests.routing import builders

UPLOAD = b'u' * 4_000_000
LINGER_RESET = struct.pack('ii', 1, 0)
EVENT_HEAD = (
    b'HTTP/1.1 200 OK\r\nRunner-Stamp: s.1\r\n'
    b'Content-Type: text/event-stream\r\n\r\n'
)
WAYS = ['direct', 'by another host']


def _ends_early(answer):
    """Return a script that ends its side, and later resets the connection."""

    async def script(request, writer):
        writer.transport.pause_reading()
        writer.write(answer)
        await writer.drain()
        await asyncio.sleep(0.02)
        sock = writer.get_extra_info('socket')
        sock.shutdown(socket.SHUT_WR)
        await asyncio.sleep(0.1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        writer.transport.abort()

    return script


async def _goes_on(request, writer):
    after = int(request.header('Last-Event-Id') or 0)
    writer.write(scripted_runner.STREAM_HEAD)
    for number in range(after + 1, 5):
        writer.write(scripted_runner.chunk(scripted_runner.event(number)))
    writer.write(scripted_runner.LAST_CHUNK)
    await writer.drain()


async def _upload(way, scripts, fields):
    """Upload to the first runner first; return the answer and the runners."""
    is_stream = fields['kind'] is route_kind.RouteKind.STREAM
    headers = harness.STREAM_HEADERS if is_stream else ''
    more = {'stages': [builders.DECODE] * len(scripts)} if is_stream else {}
    running = harness.running if way == 'direct' else test_peers._pair
    async with running(scripts, **more, **fields) as (*hosts, runners):
        for host in hosts:
            host.note_stream('q1')
            for number in range(1, len(runners)):
                # The first runner is the least loaded one.
                load = host.view.load(f'r{number}')
                load.requests = 1
                load.tokens = 1000
        for runner in runners:
            runner.skips_body = True
        got = await hosts[0].request(
            method='POST', body=UPLOAD, headers=headers
        )
        return got, [len(runner.requests) for runner in runners]


# Guards against a part of an answer that its caller gets as the whole one, as
# the runner ended the connection before it had read the request.
@pytest.mark.parametrize('way', WAYS)
def test_a_success_of_an_unread_upload_is_no_answer(way):
    script = _ends_early(test_cut_heads.CLOSE_HEAD + b'a part')
    got, asked = asyncio.run(
        _upload(way, [script], {'kind': route_kind.RouteKind.ONCE})
    )
    assert harness.status(got) == 502
    assert asked == [1]


@pytest.mark.parametrize('way', WAYS)
def test_an_unread_upload_that_may_be_repeated_goes_to_another_runner(way):
    scripts = [
        _ends_early(test_cut_heads.CLOSE_HEAD + b'a part'),
        scripted_runner.answers(scripted_runner.response(b'whole')),
    ]
    fields = {'kind': route_kind.RouteKind.IDEMPOTENT, 'max_sends': 2}
    got, asked = asyncio.run(_upload(way, scripts, fields))
    assert harness.status(got) == 200
    assert got.endswith(b'\r\n\r\nwhole')
    assert asked == [1, 1]


# Guards against the same for a stream that ends between two events.
@pytest.mark.parametrize('way', WAYS)
def test_a_stream_of_an_unread_upload_never_looks_whole(way):
    script = _ends_early(EVENT_HEAD + scripted_runner.event(1))
    got, asked = asyncio.run(_upload(way, [script], test_cut_heads.STREAM))
    assert not test_cut_heads._looks_whole(got)
    assert asked == [1]


@pytest.mark.parametrize('way', WAYS)
def test_a_stream_of_an_unread_upload_goes_on_at_another_runner(way):
    scripts = [_ends_early(EVENT_HEAD + scripted_runner.event(1)), _goes_on]
    fields = {**test_cut_heads.KINDS['resumable'], 'max_sends': 3}
    got, asked = asyncio.run(_upload(way, scripts, fields))
    assert test_cut_heads._looks_whole(got)
    for number in range(1, 5):
        assert got.count(f'id: {number}\n'.encode()) == 1
    assert asked == [1, 1]


# Guards against the loss of a refusal that comes before the end of an upload.
@pytest.mark.parametrize('way', WAYS)
@pytest.mark.parametrize('kind', list(test_cut_heads.KINDS))
def test_an_early_refusal_reaches_its_caller(way, kind):
    head = b'HTTP/1.1 413 X\r\nRunner-Stamp: s.1\r\n\r\n'
    got, _ = asyncio.run(
        _upload(
            way, [_ends_early(head + b'too large')], test_cut_heads.KINDS[kind]
        )
    )
    assert harness.status(got) == 413
    assert b'too large' in got
