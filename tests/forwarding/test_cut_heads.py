"""Runners that stop in the middle of their answer's head."""

import asyncio

import pytest

from limpetroute.routing import route_kind
from tests.forwarding import harness
from tests.forwarding import scripted_runner
from tests.forwarding import test_peers
from tests.routing import builders

STREAM = {'kind': route_kind.RouteKind.STREAM, 'timeout_s': 10.0}
KINDS = {
    'once': {'kind': route_kind.RouteKind.ONCE},
    'safe': {'kind': route_kind.RouteKind.IDEMPOTENT},
    'stream': STREAM,
    'resumable': {**STREAM, 'resumable': True},
}
LENGTH_HEAD = (
    b'HTTP/1.1 200 OK\r\nRunner-Stamp: s.1\r\nContent-Length: 4\r\n\r\n'
)
CLOSE_HEAD = b'HTTP/1.0 200 OK\r\nRunner-Stamp: s.1\r\n\r\n'
INTERIM = b'HTTP/1.1 100 Continue\r\n\r\n'
# Answers that are played at the same time.
AT_ONCE = 4
CUTS = (
    b'',
    b'HTTP/1.1 200',
    b'HTTP/1.1 200 OK\r',
    b'HTTP/1.1 200 OK\r\n',
    LENGTH_HEAD[:-3],
    LENGTH_HEAD[:-2],
    LENGTH_HEAD[:-1],
    CLOSE_HEAD[:-1],
    scripted_runner.STREAM_HEAD[:-1],
    INTERIM,
    INTERIM + CLOSE_HEAD[:-1],
    LENGTH_HEAD + b'who',
)


def _stops(data, end):
    async def script(request, writer):
        writer.write(data)
        await writer.drain()
        if end == 'reset':
            await asyncio.sleep(0.02)
            writer.transport.abort()

    return script


def _looks_whole(data):
    """Return whether a caller takes what it got for a complete success."""
    if not data.startswith(b'HTTP/1.1 2'):
        return False
    head, _, body = data.partition(b'\r\n\r\n')
    if b'chunked' in head.lower():
        return data.endswith(scripted_runner.LAST_CHUNK)
    lengths = [
        int(line.split(b':')[1])
        for line in head.split(b'\r\n')
        if line.lower().startswith(b'content-length:')
    ]
    return not lengths or len(body) == lengths[0]


async def _answer(way, script, fields):
    """Return what the caller got, and how often the runner was asked."""
    is_stream = fields['kind'] is route_kind.RouteKind.STREAM
    headers = harness.STREAM_HEADERS if is_stream else ''
    more = {'stages': [builders.DECODE]} if is_stream else {}
    if way == 'direct':
        async with harness.running([script], **more, **fields) as (
            front,
            (runner,),
        ):
            front.note_stream('q1')
            got = await front.request(headers=headers)
            return got, len(runner.requests)
    async with test_peers._pair([script], **more, **fields) as (
        cut,
        host,
        (runner,),
    ):
        for one in (cut, host):
            one.note_stream('q1')
        got = await cut.request(headers=headers)
        return got, len(runner.requests)


# Guards against an answer that stops in its head and reaches the caller as a
# whole one that is empty or short.
@pytest.mark.parametrize('way', ['direct', 'by another host'])
@pytest.mark.parametrize('kind', list(KINDS))
@pytest.mark.parametrize('end', ['close', 'reset'])
def test_an_answer_that_stops_in_its_head_never_looks_whole(way, kind, end):
    async def work():
        found = []
        for first in range(0, len(CUTS), AT_ONCE):
            cuts = CUTS[first : first + AT_ONCE]
            found += await asyncio.gather(
                *(_answer(way, _stops(cut, end), KINDS[kind]) for cut in cuts)
            )
        return found

    found = asyncio.run(work())
    whole = {
        cut: data
        for cut, (data, _) in zip(CUTS, found, strict=True)
        if _looks_whole(data)
    }
    assert not whole
    # The run shows nothing about requests that reached no runner.
    assert sum(asked > 0 for _, asked in found) > len(CUTS) / 2
    if kind == 'once':
        assert all(asked <= 1 for _, asked in found)


async def _breaks_off(request, writer):
    writer.write(scripted_runner.STREAM_HEAD)
    writer.write(scripted_runner.chunk(scripted_runner.event(1)))
    await writer.drain()
    await asyncio.sleep(0.02)
    writer.transport.abort()


# Guards against a resumed stream that ends as complete where the run that was
# to go on stopped in its head.
@pytest.mark.parametrize('end', ['close', 'reset'])
def test_a_resumed_run_that_stops_in_its_head_ends_no_stream(end):
    async def stream(cut):
        scripts = [_breaks_off, _stops(cut, end)]
        stages = [builders.DECODE] * 2
        async with harness.running(
            scripts, stages=stages, **KINDS['resumable']
        ) as (front, _):
            front.note_stream('q1')
            return await front.request(headers=harness.STREAM_HEADERS)

    async def work():
        return await asyncio.gather(*map(stream, CUTS))

    got = asyncio.run(work())
    assert not any(_looks_whole(data) for data in got)


def test_a_whole_answer_looks_whole():
    assert _looks_whole(LENGTH_HEAD + b'good')
    assert not _looks_whole(LENGTH_HEAD + b'goo')
    stream = scripted_runner.STREAM_HEAD + scripted_runner.LAST_CHUNK
    assert _looks_whole(stream)
    assert not _looks_whole(stream[:-1])
