"""Tests of streams whose sound runner is silent for a while."""

import asyncio
import dataclasses
import functools

import pytest

from limpetroute.routing import placement
from limpetroute.routing import retry_budget
from limpetroute.routing import route_kind
from tests.forwarding import harness
from tests.forwarding import scripted_runner
from tests.routing import builders

# Longer than a host waits before it looks for another runner.
SILENCE_S = 1.4
RESUMABLE = {
    'kind': route_kind.RouteKind.STREAM,
    'timeout_s': 10.0,
    'resumable': True,
    'max_sends': 5,
}
USAGE = harness.STREAM_HEADERS
FULL = scripted_runner.response(b'', status=503, **{'Not-Run': '1'})


def _events(data):
    """Return the numbers of the events in a raw response."""
    body = data.partition(b'\r\n\r\n')[2]
    return [
        int(line[3:]) for line in body.split(b'\n') if line.startswith(b'id:')
    ]


def _is_complete(data):
    return data.endswith(scripted_runner.LAST_CHUNK)


def _stream_with_silence(silence_s=SILENCE_S):
    """Return a script whose stream pauses after its second event."""

    async def script(request, writer):
        after = int(request.header('Last-Event-Id') or 0)
        writer.write(scripted_runner.STREAM_HEAD)
        for number in range(after + 1, 5):
            writer.write(scripted_runner.chunk(scripted_runner.event(number)))
            await writer.drain()
            await asyncio.sleep(silence_s if number == 2 else 0.01)
        writer.write(scripted_runner.LAST_CHUNK)
        await writer.drain()

    return script


# Guards against a stream that is broken off because its sound runner was
# silent, while no other runner takes it.
@pytest.mark.parametrize('full_runners', [0, 2])
def test_a_stream_outlasts_the_silence_of_its_runner(full_runners):
    async def work():
        scripts = [scripted_runner.answers(FULL)] * full_runners
        scripts.append(_stream_with_silence())
        async with harness.running(
            scripts, stages=[builders.DECODE] * len(scripts), **RESUMABLE
        ) as (front, _):
            return await front.request(headers=USAGE)

    got = asyncio.run(work())
    assert _events(got) == [1, 2, 3, 4]
    assert _is_complete(got)


def _answers_after(delay_s):
    """Return a script that takes a resumed stream after a delay."""

    async def script(request, writer):
        await asyncio.sleep(delay_s)
        writer.write(scripted_runner.STREAM_HEAD)
        after = int(request.header('Last-Event-Id'))
        for number in range(after + 1, 5):
            writer.write(scripted_runner.chunk(scripted_runner.event(number)))
        writer.write(scripted_runner.LAST_CHUNK)
        await writer.drain()

    return script


async def _play(scripts, *, stages=None, retries=None, **fields):
    """Send a stream to the first of the runners, which is silent."""
    stages = stages or [builders.DECODE] * len(scripts)
    route = {**RESUMABLE, **fields}
    async with harness.running(scripts, stages=stages, **route) as (
        front,
        runners,
    ):
        others = front.view._by_service['model'][1:]
        front.view._by_service['model'] = front.view.runners('model')[:1]
        if retries is not None:
            left = [True] * retries
            front.context.take_retry = lambda service: (
                bool(left) and left.pop()
            )
        asked = asyncio.create_task(front.request(headers=USAGE))
        await asyncio.sleep(0.3)
        front.view._by_service['model'] += others
        got = await asked
        await asyncio.sleep(0.1)
        held = dict(front.scheduler._held)
        return got, runners, held


# Guards against two runners that both work on a stream for long.
def test_a_silent_runner_is_left_once_another_one_answers():
    async def work():
        return await _play([_stream_with_silence(5.0), _answers_after(0.0)])

    got, (silent, other), held = asyncio.run(work())
    assert _events(got) == [1, 2, 3, 4]
    assert _is_complete(got)
    assert other.requests[0].header('Last-Event-Id') == '2'
    assert silent.requests[0].closed
    assert not held


# Guards against a stream that changes its runner although its own goes on.
def test_a_runner_that_goes_on_first_keeps_its_stream():
    async def work():
        return await _play([_stream_with_silence(), _answers_after(3.0)])

    got, (silent, other), held = asyncio.run(work())
    assert _events(got) == [1, 2, 3, 4]
    assert _is_complete(got)
    assert len(silent.requests) == 1
    assert other.requests[0].closed
    assert not held


# Guards against a silence that breaks a stream off when retries are used up.
def test_a_silent_runner_is_not_left_without_a_retry_budget():
    async def work():
        return await _play(
            [_stream_with_silence(), _answers_after(0.0)], retries=0
        )

    got, (_, other), held = asyncio.run(work())
    assert _events(got) == [1, 2, 3, 4]
    assert _is_complete(got)
    assert not other.requests
    assert not held


# Guards against a second silence that the timer of the first one hides.
def test_each_silence_of_a_stream_leads_to_a_search():
    async def pauses_twice(request, writer):
        writer.write(scripted_runner.STREAM_HEAD)
        for number in (1, 2, 3):
            writer.write(scripted_runner.chunk(scripted_runner.event(number)))
            await writer.drain()
            await asyncio.sleep((1.1, 5.0, 0.0)[number - 1])

    async def work():
        return await _play([pauses_twice, _answers_after(0.2)])

    got, (silent, other), _ = asyncio.run(work())
    assert _events(got) == [1, 2, 3, 4]
    assert _is_complete(got)
    assert [one.header('Last-Event-Id') for one in other.requests] == [
        '1',
        '2',
    ]


# Guards against a runner that gets new streams for one that is still there.
def test_a_search_leaves_the_placement_at_the_silent_runner():
    names = []
    released = []

    async def leader(request, hints=None):
        names.append(request.request_id)
        if len(names) == 1:
            return placement.Placement(
                request_id=request.request_id, decode_id='r0', prefill_id=''
            )
        return placement.Rejection(
            request_id=request.request_id, retry_after_s=1.0, reason='none'
        )

    def release(service, end, *, only_if_held=True):
        released.append((len(names), end.request_id))

    async def work():
        scripts = [_stream_with_silence(), _answers_after(0.0)]
        async with harness.running(
            scripts, stages=[builders.DECODE] * 2, **RESUMABLE
        ) as (front, _):
            front.scheduler.request_placement = leader
            front.scheduler.release = release
            return await front.request(headers=USAGE)

    got = asyncio.run(work())
    assert _events(got) == [1, 2, 3, 4]
    assert names[0] == 'q1'
    assert len(names) > 1
    assert 'q1' not in names[1:]
    assert [one for one in released if one[1] == 'q1'] == [(len(names), 'q1')]


# Guards against a stream that is broken off because its silent runner ends
# while the last send that the route allows is on its way.
def test_a_runner_that_ends_during_a_search_leaves_the_stream_to_it():
    async def breaks_off(request, writer):
        writer.write(scripted_runner.STREAM_HEAD)
        for number in (1, 2):
            writer.write(scripted_runner.chunk(scripted_runner.event(number)))
        await writer.drain()
        await asyncio.sleep(1.4)
        writer.transport.abort()

    async def work():
        return await _play([breaks_off, _answers_after(0.8)], max_sends=2)

    got, (_, other), held = asyncio.run(work())
    assert _events(got) == [1, 2, 3, 4]
    assert _is_complete(got)
    assert len(other.requests) == 1
    assert not held


# Guards against a runner's error that is written into a stream that has begun
# at another one, which then looks complete.
@pytest.mark.parametrize('status', [404, 503])
def test_a_stream_is_not_left_for_an_error_of_another_runner(status):
    async def work():
        error = scripted_runner.response(b'no such model', status=status)
        return await _play(
            [_stream_with_silence(), scripted_runner.answers(error)]
        )

    got, (_, other), held = asyncio.run(work())
    assert _events(got) == [1, 2, 3, 4]
    assert _is_complete(got)
    assert b'no such model' not in got
    assert other.requests
    assert not held


# Guards against the same after a runner that broke off.
def test_a_begun_stream_ends_incomplete_at_an_error_of_another_runner():
    async def breaks_off(request, writer):
        if request.header('Last-Event-Id'):
            # The stream may come back to the only other runner.
            writer.transport.abort()
            return
        writer.write(scripted_runner.STREAM_HEAD)
        writer.write(scripted_runner.chunk(scripted_runner.event(1)))
        await writer.drain()
        await asyncio.sleep(0.5)
        writer.transport.abort()

    async def work():
        error = scripted_runner.response(b'no such model', status=404)
        return await _play([breaks_off, scripted_runner.answers(error)])

    got, (_, other), _ = asyncio.run(work())
    assert _events(got) == [1]
    assert not _is_complete(got)
    assert b'no such model' not in got
    assert other.requests


async def _answers_no_prefill(request, writer):
    await asyncio.sleep(SILENCE_S)


# Guards against a begun stream that is broken off because prefill runners are
# silent, while a decode runner would go on.
@pytest.mark.parametrize(('prefill_runners', 'retries'), [(1, 1), (3, None)])
def test_a_begun_stream_goes_on_while_prefill_runners_are_silent(
    prefill_runners, retries
):
    async def breaks_off(request, writer):
        writer.write(scripted_runner.STREAM_HEAD)
        writer.write(scripted_runner.chunk(scripted_runner.event(1)))
        await writer.drain()
        await asyncio.sleep(0.5)
        writer.transport.abort()

    async def work():
        prefill = [_answers_no_prefill] * prefill_runners
        stages = [builders.DECODE, *[builders.PREFILL] * prefill_runners]
        return await _play(
            [breaks_off, *prefill, _answers_after(0.0)],
            stages=[*stages, builders.DECODE],
            retries=retries,
        )

    got, (_, *_, other), held = asyncio.run(work())
    assert _events(got) == [1, 2, 3, 4]
    assert _is_complete(got)
    assert len(other.requests) == 1
    assert not held


# Guards against streams that stay at silent runners, as connects that failed
# have used up the retries.
def test_a_failed_connect_of_a_search_uses_up_no_retry():
    async def work():
        scripts = [_stream_with_silence(5.0), _answers_after(0.0)]
        async with harness.running(
            scripts, stages=[builders.DECODE] * 2, **RESUMABLE
        ) as (front, runners):
            # One retry.
            front.context._make_retry_budget = functools.partial(
                retry_budget.RetryBudget, ratio=0.0, slack=2.0, window_s=30.0
            )
            silent, other = front.view._by_service['model']
            front.view._by_service['model'] = [silent]
            lost = dataclasses.replace(
                builders.make_runner('lost', builders.DECODE, port=1),
                service='model',
            )
            # The lost runner is chosen before the other one.
            front.view.load(other.runner_id).tokens = 1000
            asked = asyncio.create_task(front.request(headers=USAGE))
            await asyncio.sleep(0.3)
            front.view._by_service['model'] += [lost, other]
            front.view._runners['lost'] = lost
            got = await asked
            return got, runners[1].requests, front.view.load('lost').failures

    got, taken_up, failures = asyncio.run(work())
    assert _events(got) == [1, 2, 3, 4]
    assert _is_complete(got)
    assert [one.header('Last-Event-Id') for one in taken_up] == ['2']
    # The run shows nothing if no connect has failed.
    assert failures
