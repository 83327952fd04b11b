"""Streams: the two stages, and every way in which one can break."""

import asyncio
import json

import pytest

from limpetroute.forwarding import scheduler_client
from limpetroute.routing import route_kind
from tests.forwarding import harness
from tests.forwarding import scripted_runner
from tests.routing import builders

event = scripted_runner.event
chunk = scripted_runner.chunk
STREAM = {'kind': route_kind.RouteKind.STREAM, 'timeout_s': 10.0}
RESUMABLE = {**STREAM, 'resumable': True}
DECODE = builders.DECODE
PREFILL = builders.PREFILL
USAGE = harness.STREAM_HEADERS


async def _prefill(seen, writer):
    if seen.head.startswith('DELETE'):
        writer.write(scripted_runner.response(b''))
    else:
        body = json.dumps(
            {'kv-handle': 'h1', 'tokens': 1000, 'version': 1}
        ).encode()
        writer.write(scripted_runner.response(body, stamp='p'))
    await writer.drain()


def _stream(*numbers, ends=True, cut=b''):
    async def script(seen, writer):
        writer.write(scripted_runner.STREAM_HEAD)
        for number in numbers:
            writer.write(chunk(event(number)))
            await writer.drain()
            await asyncio.sleep(0.01)
        if cut:
            writer.write(chunk(cut))
            await writer.drain()
            await asyncio.sleep(0.02)
        if ends:
            writer.write(scripted_runner.LAST_CHUNK)
        await writer.drain()

    return script


def _events(data):
    """Return the numbers of the events in a raw answer."""
    body = data.partition(b'\r\n\r\n')[2]
    return [
        int(line[3:]) for line in body.split(b'\n') if line.startswith(b'id:')
    ]


def _complete(data):
    return data.endswith(scripted_runner.LAST_CHUNK)


def run(work):
    return asyncio.run(work)


def test_the_prompt_is_read_apart():
    async def work():
        async with harness.running(
            [_prefill, _stream(1, 2, 3)], stages=[PREFILL, DECODE], **STREAM
        ) as (front, (prefill, decode)):
            got = await front.ask(method='POST', body=b'prompt', more=USAGE)
            source = decode.seen[0].header('Kv-From')
            assert source == f'127.0.0.1:{prefill.port}/h1'
            assert prefill.seen[0].header('Stage') == 'prefill'
            assert decode.seen[0].header('Stage') is None
            assert prefill.seen[0].body == decode.seen[0].body == b'prompt'
        assert _events(got) == [1, 2, 3]
        assert _complete(got)
        assert b'Runner-Stamp: s.1' in got

    run(work())


# Guards against a leader that never hears that a decode runner has read a
# prompt, and gives it none for seconds; and against calls for nothing.
@pytest.mark.parametrize(
    ('scripts', 'stages', 'told'),
    [
        ([_stream(1, 2, 3)], [DECODE], 1),
        ([_prefill, _stream(1, 2, 3)], [PREFILL, DECODE], 0),
    ],
)
def test_the_leader_hears_when_a_decode_runner_has_read(scripts, stages, told):
    heard = []

    async def work():
        async with harness.running(scripts, stages=stages, **STREAM) as (
            front,
            _,
        ):
            front.scheduler.note_first_event = lambda *args: heard.append(args)
            await front.ask(method='POST', body=b'prompt', more=USAGE)

    run(work())
    assert len(heard) == told
    assert all(0 < took_s < 1 for _, _, _, took_s in heard)


def test_what_is_the_systems_to_set_is_dropped_from_callers():
    async def work():
        async with harness.running(
            [_stream(1)], stages=[DECODE], **STREAM
        ) as (front, (decode,)):
            await front.ask(
                more=USAGE + 'Stage: prefill\r\nKv-From: 1.2.3.4:5/x\r\n'
                'Hold: h\r\nPin-Ms: 4000\r\nKv-Backup: 1.2.3.4:5\r\n'
            )
            for name in ('Stage', 'Kv-From', 'Hold', 'Pin-Ms', 'Kv-Backup'):
                assert decode.seen[0].header(name) is None

    run(work())


def test_a_lapsed_handle_has_the_writer_read_for_itself():
    async def work():
        async def lapsed(seen, writer):
            if seen.header('Kv-From'):
                writer.write(scripted_runner.response(b'', 503, Not_Run='1'))
                await writer.drain()
                return
            await _stream(1, 2)(seen, writer)

        async with harness.running(
            [_prefill, lapsed], stages=[PREFILL, DECODE], **RESUMABLE
        ) as (front, _):
            got = await front.ask(more=USAGE)
        assert _events(got) == [1, 2]

    run(work())


def test_a_broken_stream_goes_on_elsewhere_without_a_seam():
    """A runner crashes in the middle of an event.

    The caller has events 1 and 2 and a part of 3. Passed on, that part
    would run into what the next runner sends. Only whole events pass,
    and the next runner is asked for those after 2.
    """

    async def work():
        async def first_or_rest(seen, writer):
            after = seen.header('Last-Event-Id')
            if after is None:
                script = _stream(1, 2, ends=False, cut=b'id: 3\nda')
            else:
                assert after == '2'
                script = _stream(3, 4)
            await script(seen, writer)

        async with harness.running(
            [first_or_rest, first_or_rest],
            stages=[DECODE, DECODE],
            **RESUMABLE,
        ) as (front, _):
            got = await front.ask(more=USAGE)
        assert _events(got) == [1, 2, 3, 4]
        assert _complete(got)

    run(work())


def test_a_broken_stream_that_may_not_resume_never_looks_complete():
    async def work():
        async with harness.running(
            [_stream(1, 2, ends=False)] * 2, stages=[DECODE] * 2, **STREAM
        ) as (front, runners):
            got = await front.ask(more=USAGE)
            assert sum(len(one.seen) for one in runners) == 1
        assert _events(got) == [1, 2]
        assert not _complete(got)

    run(work())


def test_a_silent_stream_goes_on_elsewhere():
    """A link goes silent: no end, no error, no event."""

    async def work():
        async def silent_once(seen, writer):
            if seen.header('Last-Event-Id') == '1':
                await _stream(2, 3)(seen, writer)
                return
            writer.write(scripted_runner.STREAM_HEAD + chunk(event(1)))
            await writer.drain()
            await asyncio.sleep(8)

        async with harness.running(
            [silent_once] * 2, stages=[DECODE] * 2, **RESUMABLE
        ) as (front, _):
            got = await front.ask(more=USAGE)
        assert _events(got) == [1, 2, 3]
        assert _complete(got)

    run(work())


def test_a_caller_that_leaves_frees_both_runners():
    """KV memory stays held for a verdict whose caller has gone."""

    async def work():
        async def endless(seen, writer):
            writer.write(scripted_runner.STREAM_HEAD)
            for number in range(1000):
                writer.write(chunk(event(number)))
                await writer.drain()
                await asyncio.sleep(0.02)

        async with harness.running([endless], stages=[DECODE], **STREAM) as (
            front,
            (decode,),
        ):
            reader, writer = await front.connect()
            writer.write(
                b'POST /a/x HTTP/1.1\r\nHost: h.example\r\n'
                b'Request-Id: q1\r\nDeadline-Ms: 9000\r\n'
                b'Content-Length: 1\r\n' + USAGE.encode() + b'\r\nx'
            )
            await reader.readuntil(b'id: 3\n')
            writer.close()
            await asyncio.sleep(0.3)
            assert decode.seen[0].closed
            assert not front.forwarder.active
            assert front.view.load('r0').tokens == 0

    run(work())


def test_a_caller_that_leaves_while_the_prompt_is_read_frees_it():
    async def work():
        async def slow_prefill(seen, writer):
            if not seen.head.startswith('DELETE'):
                await asyncio.sleep(0.2)
            await _prefill(seen, writer)

        async def refuses(seen, writer):
            writer.write(scripted_runner.response(b'', 503, Not_Run='1'))
            await writer.drain()

        async with harness.running(
            [slow_prefill, refuses], stages=[PREFILL, DECODE], **STREAM
        ) as (front, (prefill, _)):
            got = await front.ask(more=USAGE)
            await asyncio.sleep(0.2)
            calls = [one.head.split(' ')[0] for one in prefill.seen]
            assert calls == ['GET', 'DELETE']
            assert prefill.seen[1].target == '/api/kv-handle/h1'
        assert harness.status(got) == 503

    run(work())


def test_a_dark_reader_costs_a_moment_and_is_not_left_to_the_writer():
    """A prefill runner takes a request and never answers.

    Waited for, the caller leaves without an event. Passed by, the
    decode runner reads the prompt itself, unplanned, and all its other
    streams pause. Another place is asked for instead.
    """

    async def work():
        async def dark(seen, writer):
            await asyncio.sleep(8)

        async with harness.running(
            [dark, _prefill, _stream(1, 2)],
            stages=[PREFILL, PREFILL, DECODE],
            **RESUMABLE,
        ) as (front, (_, _, decode)):
            # The one that is dark is asked first, as it has fewest tokens.
            front.view.load('r1').tokens = 10
            loop = asyncio.get_running_loop()
            begun_s = loop.time()
            got = await front.ask(more=USAGE)
            assert loop.time() - begun_s < 2.0
            assert decode.seen[0].header('Kv-From').endswith('/h1')
        assert _events(got) == [1, 2]

    run(work())


def test_no_prompt_is_read_for_a_writer_that_is_dark():
    """A decode runner dies; its last heartbeat still says ready.

    A place is given at it, the prompt is read apart, and only then does
    the connect fail: the reading is thrown away, and the other decode
    runner reads the prompt itself, between the tokens of its streams.
    """

    async def work():
        async with harness.running(
            [_prefill, _stream(1), _stream(1, 2)],
            stages=[PREFILL, DECODE, DECODE],
            **RESUMABLE,
        ) as (front, (prefill, dead, decode)):
            await dead.stop()
            # The one that is dead is chosen first: it has fewest tokens.
            front.view.load('r2').tokens = 10
            got = await front.ask(more=USAGE)
            reads = [one for one in prefill.seen if one.header('Stage')]
            assert len(reads) == 1
            assert decode.seen[0].header('Kv-From').endswith('/h1')
        assert _events(got) == [1, 2]
        assert _complete(got)

    run(work())


def test_a_writer_that_closes_while_the_prompt_is_read_is_sent_to_anew():
    """The connection made ahead is closed before anything is sent on it.

    Nothing ran. Taken for a request that may have run, a stream that
    may not be sent twice would fail.
    """

    async def work():
        async def slowly(seen, writer):
            await asyncio.sleep(0.2)
            await _prefill(seen, writer)

        async with harness.running(
            [slowly, _stream(1, 2)],
            stages=[PREFILL, DECODE],
            **STREAM,
        ) as (front, (prefill, decode)):
            decode.close_first = 1
            got = await front.ask(more=USAGE)
            assert decode.seen[0].header('Kv-From').endswith('/h1')
        assert _events(got) == [1, 2]

    run(work())


def test_without_a_leader_room_is_waited_for_within_the_target():
    """The leading control host dies; the next one leads a second later.

    Meanwhile each host decides by its own streams, and one that has its
    part of the runners in use sees no room. Its callers were told at
    once to come back, and came back too late for their targets; room
    came 0.2 s after they had been refused.
    """

    async def work():
        async with harness.running(
            [_prefill, _stream(1, 2)],
            stages=[PREFILL, DECODE],
            target_s=0.9,
            **STREAM,
        ) as (front, _):
            load = front.view.load('r1')
            load.requests = 100
            asked = asyncio.create_task(front.ask(more=USAGE))
            await asyncio.sleep(0.2)
            load.requests = 0
            assert _events(await asked) == [1, 2]

    run(work())


def test_without_a_leader_nobody_waits_beyond_the_target():
    async def work():
        async with harness.running(
            [_prefill, _stream(1, 2)],
            stages=[PREFILL, DECODE],
            target_s=0.5,
            **STREAM,
        ) as (front, _):
            front.view.load('r1').requests = 100
            loop = asyncio.get_running_loop()
            begun_s = loop.time()
            got = await front.ask(more=USAGE)
            assert harness.status(got) == 503
            assert b'Retry-After' in got
            assert 0.2 < loop.time() - begun_s < 0.7

    run(work())


def _dies_after(server, *numbers):
    """Stream some events, then end the runner with all its sockets."""

    async def script(seen, writer):
        writer.write(scripted_runner.STREAM_HEAD)
        for number in numbers:
            writer.write(chunk(event(number)))
            await writer.drain()
        await asyncio.sleep(0.02)
        await server[0].stop()

    return script


# Guards against a stream that is sent after a leader kept it waiting, for
# a caller who is about to leave.
def test_a_stream_that_waited_too_long_for_a_leader_is_not_sent():
    async def work():
        async with harness.running(
            [_stream(1)], stages=[DECODE], silence_s=1.5, **STREAM
        ) as (front, (decode,)):

            async def ask(one):
                await asyncio.sleep(0.4)
                return scheduler_client.SchedulerUnavailable(reason='timeout')

            front.scheduler.request_placement = ask
            got = await front.ask(more=USAGE)
            assert harness.status(got) == 503
            assert not decode.seen

    run(work())


def test_a_stream_of_a_dead_runner_has_its_prompt_read_apart_again():
    """A decode runner crashes with twelve streams in mid-answer.

    Read by the runner that is left, between the tokens of its own
    streams, twelve prompts hold all of those up for seconds; most of
    the twelve were lost instead. A prefill runner reads them in moments.
    """

    async def work():
        dying = []
        async with harness.running(
            [_prefill, _dies_after(dying, 1, 2), _stream(3, 4)],
            stages=[PREFILL, DECODE, DECODE],
            **RESUMABLE,
        ) as (front, (prefill, first, second)):
            dying.append(first)
            # The one that dies is chosen first.
            front.view.load('r2').tokens = 10
            got = await front.ask(more=USAGE)
            reads = [one for one in prefill.seen if one.header('Stage')]
            assert len(reads) == 2
            assert second.seen[0].header('Kv-From').endswith('/h1')
            assert second.seen[0].header('Last-Event-Id') == '2'
        assert _events(got) == [1, 2, 3, 4]
        assert _complete(got)

    run(work())


def test_a_stream_that_a_live_runner_broke_off_is_not_read_apart_again():
    """A second reading counts as a send, like the run that broke off.

    With the next run that makes three, one more than the route allows;
    only runners that are gone do not count.
    """

    async def work():
        async with harness.running(
            [_prefill, _stream(1, 2, ends=False), _stream(3, 4)],
            stages=[PREFILL, DECODE, DECODE],
            **RESUMABLE,
        ) as (front, (prefill, _, second)):
            front.view.load('r2').tokens = 10
            got = await front.ask(more=USAGE)
            reads = [one for one in prefill.seen if one.header('Stage')]
            assert len(reads) == 1
            assert second.seen[0].header('Kv-From') is None
        assert _events(got) == [1, 2, 3, 4]

    run(work())


def test_a_caller_that_comes_back_to_go_on_has_its_prompt_read_apart():
    """The first reading of each attempt of a caller is free."""

    async def work():
        async with harness.running(
            [_prefill, _stream(3, 4)], stages=[PREFILL, DECODE], **RESUMABLE
        ) as (front, (prefill, decode)):
            more = f'{USAGE}Last-Event-Id: 2\r\n'
            got = await front.ask(more=more)
            assert decode.seen[0].header('Kv-From').endswith('/h1')
            assert decode.seen[0].header('Last-Event-Id') == '2'
        assert _events(got) == [3, 4]

    run(work())


def test_a_silent_runner_is_not_left_where_no_other_send_is_allowed():
    """A runner is full, and the next one is silent for a while.

    It preempts a stream and goes on with it after 1.3 s. Two sends are
    all that the route allows; the second was ended as if a third might
    follow, and the caller's answer was cut in the middle.
    """

    async def work():
        sends = []

        async def full_then_silent(seen, writer):
            sends.append(seen)
            if len(sends) == 1:
                refusal = scripted_runner.response(
                    b'', status=503, **{'Not-Run': '1'}
                )
                writer.write(refusal)
                await writer.drain()
                return
            writer.write(scripted_runner.STREAM_HEAD + chunk(event(1)))
            await writer.drain()
            await asyncio.sleep(1.3)
            writer.write(chunk(event(2)) + scripted_runner.LAST_CHUNK)
            await writer.drain()

        async with harness.running(
            [full_then_silent] * 2, stages=[DECODE] * 2, **RESUMABLE
        ) as (front, _):
            got = await front.ask(more=USAGE)
        assert _events(got) == [1, 2]
        assert _complete(got)

    run(work())
