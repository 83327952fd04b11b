"""Tests of requests that have work left after their answer is complete."""

import asyncio
import contextlib
import dataclasses

import pytest

from limpetroute.forwarding import placement_session
from limpetroute.routing import route_kind
from tests.forwarding import harness
from tests.forwarding import scripted_runner
from tests.routing import builders

TIMEOUT_S = 0.5
STREAM = {'kind': route_kind.RouteKind.STREAM}
# Nothing listens there.
CLOSED_PORT = 1


async def _read_answer(reader):
    """Return the status of an answer with a length; 0 without an answer."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except asyncio.IncompleteReadError:
        return 0
    for line in head.lower().split(b'\r\n'):
        if line.startswith(b'content-length:'):
            await reader.readexactly(int(line.partition(b':')[2]))
    return harness.status(head)


def _request(number, headers='', target='/a/x'):
    return (
        f'GET {target} HTTP/1.1\r\nHost: h.example\r\n'
        f'Request-Id: q{number}\r\nDeadline-Ms: 9000\r\n{headers}\r\n'
    ).encode()


class _Probes:
    """Probes of runners that end when the test lets them."""

    def __init__(self, runners):
        self._runners = runners
        self.after_answers = 0
        self.may_end = asyncio.Event()

    async def verify(self):
        if self._runners[0].requests:
            self.after_answers += 1
            await self.may_end.wait()


@contextlib.asynccontextmanager
async def _host(script, *, stages=None, **fields):
    """Run a host with a runner and, for plain requests, a lost one.

    Its probes of runners last until the test ends them.
    """
    async with harness.running(
        [script], stages=stages, timeout_s=TIMEOUT_S, **fields
    ) as (front, runners):
        probes = _Probes(runners)
        front.context.links.verify = probes.verify
        if stages is None:
            lost = builders.make_runner('lost', None, port=CLOSED_PORT)
            lost = dataclasses.replace(lost, service='plain')
            front.view._by_service['plain'].append(lost)
            # The lost runner is chosen first.
            front.view.load('r0').requests = 1
        yield front, probes


@contextlib.asynccontextmanager
async def _connected(front):
    reader, writer = await front.connect()
    try:
        yield reader, writer
    finally:
        writer.close()


def _answers_in_turn(first, *, delay_s=0.0):
    """Return a script with its own answer to the first request."""
    answers = [first]

    async def script(request, writer):
        if not answers:
            await asyncio.sleep(delay_s)
        writer.write(answers.pop() if answers else scripted_runner.response())
        await writer.drain()

    return script


# Guards against a connection that is closed under its caller's next request,
# as the time of the answered request before it ends during a probe.
@pytest.mark.parametrize('sends_ahead', [False, True])
def test_an_answered_request_leaves_its_connection_open(sends_ahead):
    async def work():
        script = _answers_in_turn(
            scripted_runner.response(), delay_s=2 * TIMEOUT_S
        )
        async with _host(script) as (front, probes):
            # The second request may take longer than the first one.
            (route,) = front.view.plan.routes
            front.view.plan = builders.make_plan(
                route,
                dataclasses.replace(
                    route, name='slow', path_prefix='/slow/', timeout_s=9.0
                ),
                services=(builders.make_service('plain'),),
            )
            second = _request(2, target='/slow/x')
            async with _connected(front) as (reader, writer):
                writer.write(_request(1) + (second if sends_ahead else b''))
                statuses = [await _read_answer(reader)]
                if not sends_ahead:
                    writer.write(second)
                statuses.append(await _read_answer(reader))
            active = front.forwarder.active
            probes.may_end.set()
            await asyncio.sleep(0.05)
            return statuses, active, front.forwarder.active

    statuses, active, active_later = asyncio.run(work())
    assert statuses == [200, 200]
    # A host that stops waits for the rest of both requests.
    assert active >= 1
    assert active_later == 0


# Guards against the same for a stream's answer, and against failures of
# runners that are reported although this host reaches none.
def test_a_failed_stream_leaves_its_connection_open(monkeypatch):
    reported = []
    release = placement_session.PlacementSession.release

    def note(session, *, failed=(), **fields):
        reported.append(set(failed))
        release(session, failed=failed, **fields)

    monkeypatch.setattr(placement_session.PlacementSession, 'release', note)

    async def work():
        failure = scripted_runner.response(b'failed', status=500)
        async with _host(
            scripted_runner.answers(failure),
            stages=[builders.DECODE],
            **STREAM,
        ) as (front, probes):
            async with _connected(front) as (reader, writer):
                writer.write(_request(1, harness.STREAM_HEADERS))
                statuses = [await _read_answer(reader)]
                await asyncio.sleep(2 * TIMEOUT_S)
                early = list(reported)
                writer.write(_request(2, harness.STREAM_HEADERS))
                statuses.append(await _read_answer(reader))
                links = type(front.context.links)
                monkeypatch.setattr(links, 'are_cut', True)
                probes.may_end.set()
                await asyncio.sleep(0.05)
            return statuses, early, probes.after_answers

    statuses, early, probes = asyncio.run(work())
    assert statuses == [500, 500]
    assert probes == 2
    assert early == []
    assert reported == [set(), set()]


# Guards against an answer that goes on after its time, now that the time ends
# with the answer.
def test_an_answer_that_is_not_complete_ends_with_its_time():
    async def never_ends(request, writer):
        writer.write(scripted_runner.STREAM_HEAD)
        writer.write(scripted_runner.chunk(scripted_runner.event(1)))
        await writer.drain()
        await asyncio.sleep(9.0)

    async def work():
        async with _host(never_ends, stages=[builders.DECODE], **STREAM) as (
            front,
            probes,
        ):
            probes.may_end.set()
            started_s = asyncio.get_running_loop().time()
            got = await front.request(headers=harness.STREAM_HEADERS)
            return got, asyncio.get_running_loop().time() - started_s

    got, took_s = asyncio.run(work())
    assert harness.status(got) == 200
    assert not got.endswith(scripted_runner.LAST_CHUNK)
    assert took_s < 4.0
