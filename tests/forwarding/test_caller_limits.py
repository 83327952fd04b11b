"""Tests of limits that change under callers' kept connections."""

import asyncio

import pytest

from limpetroute.routing import caller_limits
from tests.forwarding import harness
from tests.forwarding import scripted_runner

GOOD = scripted_runner.answers(scripted_runner.response(b'whole'))
PIECES = 4


async def _ask(reader, writer, body, pause_s=0.0):
    """Send a request with its body in pieces; return status and body."""
    writer.write(
        b'POST /a/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: q1\r\n'
        b'Content-Length: %d\r\n\r\n' % len(body)
    )
    size = len(body) // PIECES
    for first in range(0, len(body), size):
        writer.write(body[first : first + size])
        await writer.drain()
        await asyncio.sleep(pause_s)
    head = await reader.readuntil(b'\r\n\r\n')
    return harness.status(head), await reader.readexactly(5)


# Guards against a whole request on a kept connection that is refused for good,
# or closed without an answer, by the limits of an earlier configuration.
@pytest.mark.parametrize(
    ('before', 'size', 'pause_s'),
    [
        ({'max_body_bytes': 100}, 5000, 0.0),
        ({'idle_timeout_s': 0.3, 'header_timeout_s': 9.0}, 100, 0.2),
    ],
)
def test_wider_limits_hold_on_kept_connections(before, size, pause_s):
    async def work():
        async with harness.running([GOOD], timeout_s=5.0) as (front, _):
            front.front.apply_limits(caller_limits.CallerLimits(**before))
            reader, writer = await front.connect()
            small = await _ask(reader, writer, b'four')
            front.front.apply_limits(caller_limits.CallerLimits())
            got = await _ask(reader, writer, b'x' * size, pause_s)
            writer.close()
            return small, got

    assert asyncio.run(work()) == ((200, b'whole'), (200, b'whole'))


async def _ask_with_header(reader, writer, size):
    writer.write(
        b'GET /a/x HTTP/1.1\r\nHost: h.example\r\nX-Large: %b\r\n\r\n'
        % (b'x' * size)
    )
    head = await reader.readuntil(b'\r\n\r\n')
    length = int(head.lower().partition(b'content-length: ')[2].split()[0])
    await reader.readexactly(length)
    return harness.status(head)


# Guards against a whole request that is closed without an answer, on a kept
# connection, by the limit on headers of an earlier configuration.
def test_a_change_of_the_header_limit_holds_on_kept_connections():
    async def work():
        limits = caller_limits.CallerLimits(max_header_bytes=1000)
        async with harness.running([GOOD], timeout_s=5.0) as (front, runners):
            front.front.apply_limits(limits)
            reader, writer = await front.connect()
            first = await _ask_with_header(reader, writer, 20)
            front.front.apply_limits(caller_limits.CallerLimits())
            wider = await _ask_with_header(reader, writer, 12000)
            front.front.apply_limits(limits)
            narrower = await _ask_with_header(reader, writer, 12000)
            writer.close()
            return (first, wider, narrower), len(runners[0].requests)

    assert asyncio.run(work()) == ((200, 200, 431), 2)


# Guards against connections that keep wider limits than those in force.
def test_narrower_limits_hold_on_kept_connections():
    async def work():
        async with harness.running([GOOD], timeout_s=5.0) as (front, runners):
            reader, writer = await front.connect()
            await _ask(reader, writer, b'x' * 5000)
            limits = caller_limits.CallerLimits(max_body_bytes=100)
            front.front.apply_limits(limits)
            writer.write(
                b'POST /a/x HTTP/1.1\r\nHost: h.example\r\n'
                b'Content-Length: 5000\r\n\r\n'
            )
            head = await reader.readuntil(b'\r\n\r\n')
            writer.close()
            return harness.status(head), len(runners[0].requests)

    assert asyncio.run(work()) == (413, 1)
