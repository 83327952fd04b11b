"""Runners that ask one host to back off, and runners that are leaving."""

import asyncio
import dataclasses
import json

import pytest

from limpetroute.routing import placement
from limpetroute.routing import route_kind
from tests.forwarding import harness
from tests.forwarding import scripted_runner
from tests.routing import builders

DECODE = builders.DECODE
PREFILL = builders.PREFILL
USAGE = harness.STREAM_HEADERS
STREAM = {'kind': route_kind.RouteKind.STREAM, 'timeout_s': 10.0}
PLAIN = {'kind': route_kind.RouteKind.IDEMPOTENT}
ONCE = {'kind': route_kind.RouteKind.ONCE}


class Shedding:
    """Turns requests away with a backoff, or answers like ``script``."""

    def __init__(self, script, backoff='30', **headers):
        self.script = script
        self.headers = {'Not_Run': '1', 'Retry_After': backoff, **headers}
        self.sheds = True

    async def __call__(self, request, writer):
        if request.head.startswith('DELETE') or not self.sheds:
            await self.script(request, writer)
            return
        writer.write(scripted_runner.response(b'', 503, **self.headers))
        await writer.drain()


class Leaving:
    """Answers like ``script``, with a header that says it is leaving."""

    def __init__(self, script):
        self.script = script

    async def __call__(self, request, writer):
        buffered = _Buffer()
        await self.script(request, buffered)
        writer.write(
            buffered.data.replace(b'\r\n', b'\r\nServer-Leaving: 1\r\n', 1)
        )
        await writer.drain()


class _Buffer:
    def __init__(self):
        self.data = b''

    def write(self, data):
        self.data += data

    async def drain(self):
        pass


async def prefills(request, writer):
    if request.head.startswith('DELETE'):
        writer.write(scripted_runner.response(b''))
    else:
        body = json.dumps({'kv-handle': 'h1', 'tokens': 9, 'version': 1})
        writer.write(scripted_runner.response(body.encode(), stamp='p'))
    await writer.drain()


async def streams(request, writer):
    writer.write(scripted_runner.STREAM_HEAD)
    writer.write(scripted_runner.chunk(scripted_runner.event(1)))
    writer.write(scripted_runner.LAST_CHUNK)
    await writer.drain()


answers = scripted_runner.answers(scripted_runner.response(b'done'))


def requests_to(runner):
    return [one for one in runner.requests if 'DELETE' not in one.head]


# A name, the scripts, the stages, the route, and the runner under test.
WAYS = [
    ('plain', [answers, answers], None, PLAIN, 0),
    ('once', [answers, answers], None, ONCE, 0),
    ('prefill', [prefills, prefills, streams], [PREFILL, PREFILL, DECODE],
     STREAM, 0),
    ('only-prefill', [prefills, streams], [PREFILL, DECODE], STREAM, 0),
    ('decode', [prefills, streams, streams], [PREFILL, DECODE, DECODE],
     STREAM, 1),
    ('self-prefill', [streams, streams], [DECODE, DECODE], STREAM, 0),
]  # fmt: skip
BY_WAY = pytest.mark.parametrize(
    ('scripts', 'stages', 'route', 'tested'),
    [way[1:] for way in WAYS],
    ids=[way[0] for way in WAYS],
)


# Guards against requests to a runner that asked this host to back off.
@BY_WAY
def test_a_runner_gets_no_request_during_its_backoff(
    scripts, stages, route, tested
):
    async def work():
        shedding = Shedding(scripts[tested])
        used = [*scripts]
        used[tested] = shedding
        async with harness.running(used, stages=stages, **route) as (
            front,
            servers,
        ):
            for _ in range(6):
                got = await front.request(headers=USAGE)
                assert harness.status(got) == 200
            assert len(requests_to(servers[tested])) == 1

    asyncio.run(work())


# Guards against a backoff that never ends.
@BY_WAY
def test_a_runner_is_used_again_after_its_backoff(
    scripts, stages, route, tested
):
    async def work():
        shedding = Shedding(scripts[tested], backoff='0.2')
        used = [*scripts]
        used[tested] = shedding
        async with harness.running(used, stages=stages, **route) as (
            front,
            servers,
        ):
            for _ in range(6):
                await front.request(headers=USAGE)
            shedding.sheds = False
            await asyncio.sleep(0.25)
            for _ in range(12):
                await front.request(headers=USAGE)
            assert len(requests_to(servers[tested])) > 1

    asyncio.run(work())


# Guards against requests to a runner that said in an answer that it leaves.
@BY_WAY
def test_a_leaving_runner_gets_no_further_request(
    scripts, stages, route, tested
):
    async def work():
        used = [*scripts]
        used[tested] = Leaving(scripts[tested])
        async with harness.running(used, stages=stages, **route) as (
            front,
            servers,
        ):
            for _ in range(8):
                got = await front.request(headers=USAGE)
                assert harness.status(got) == 200
            assert len(requests_to(servers[tested])) <= 1
            served = sum(len(requests_to(one)) for one in servers)
            assert served >= 8

    asyncio.run(work())


# Guards against a second prefill, or a failed stream, where the KV cache
# that a shedding decode runner did not fetch is still valid.
@pytest.mark.parametrize('backoff', ['30', None], ids=['backoff', 'none'])
def test_the_kv_cache_goes_to_another_decode_runner(backoff):
    async def work():
        async with harness.running(
            [prefills, Shedding(streams, backoff=backoff), streams],
            stages=[PREFILL, DECODE, DECODE],
            **STREAM,
        ) as (front, (prefill, shedding, other)):
            front.view.load('r2').tokens = 10
            got = await front.request(headers=USAGE)
            assert harness.status(got) == 200
            assert len(shedding.requests) == 1
            assert [one.header('Stage') for one in prefill.requests] == [
                'prefill'
            ]
            assert other.requests[0].header('Kv-From').endswith('/h1')

    asyncio.run(work())


# Guards against a stream that waits for a full runner until its KV cache
# expires, although the runner that refused it may accept it now.
def test_a_refused_stream_goes_back_where_no_other_runner_has_a_slot():
    async def work():
        sheds_once = Shedding(streams, backoff=None)

        async def script(request, writer):
            await sheds_once(request, writer)
            sheds_once.sheds = False

        async with harness.running(
            [prefills, script, streams],
            stages=[PREFILL, DECODE, DECODE],
            **STREAM,
        ) as (front, (prefill, runner, _)):
            front.view.load('r2').requests = 100
            got = await front.request(headers=USAGE)
            assert harness.status(got) == 200
            assert len(runner.requests) == 2
            assert len(requests_to(prefill)) == 1

    asyncio.run(work())


# Guards against the use of a KV cache that has expired meanwhile.
def test_an_expired_kv_cache_is_not_sent_to_another_runner(monkeypatch):
    async def work():
        async with harness.running(
            [prefills, Shedding(streams), streams],
            stages=[PREFILL, DECODE, DECODE],
            max_sends=3,
            **STREAM,
        ) as (front, (prefill, _, other)):
            front.view.load('r2').tokens = 10
            service = front.view.plan.service('model')
            engine = dataclasses.replace(
                service.engine, prefill_result_ttl_s=0.0
            )
            service = dataclasses.replace(service, engine=engine)
            front.view.plan = builders.make_plan(
                *front.view.plan.routes, services=(service,)
            )
            got = await front.request(headers=USAGE)
            assert harness.status(got) == 200
            assert len(requests_to(prefill)) == 2
            assert len(other.requests) == 1

    asyncio.run(work())


# Guards against a runner that gets a resumed stream during its backoff.
def test_a_stream_does_not_resume_at_a_runner_during_its_backoff():
    async def work():
        async def breaks_off(request, writer):
            writer.write(scripted_runner.STREAM_HEAD)
            writer.write(scripted_runner.chunk(scripted_runner.event(1)))
            await writer.drain()
            await asyncio.sleep(0.05)

        async with harness.running(
            [Shedding(streams), breaks_off, streams],
            stages=[DECODE, DECODE, DECODE],
            resumable=True,
            max_sends=3,
            **STREAM,
        ) as (front, (shedding, broken, other)):
            front.view.load('r1').tokens = 10
            front.view.load('r2').tokens = 20
            # The first request learns of the backoff.
            await front.request(headers=USAGE)
            front.view.load('r2').tokens = 0
            front.view.load('r1').ejected_until_s = 0.0
            await front.request(headers=USAGE)
            assert len(shedding.requests) == 1
            resumed = [one.header('Last-Event-Id') for one in other.requests]
            assert '1' in resumed

    asyncio.run(work())


# Guards against a request that was queued while its runner asked for a
# backoff and is sent to it all the same.
def test_a_backoff_during_the_prefill_holds_for_the_decode_runner():
    async def work():
        async def slow_prefill(request, writer):
            await asyncio.sleep(0.2)
            await prefills(request, writer)

        async with harness.running(
            [slow_prefill, streams, streams],
            stages=[PREFILL, DECODE, DECODE],
            **STREAM,
        ) as (front, (prefill, backing_off, other)):
            front.view.load('r2').tokens = 10
            task = asyncio.create_task(front.request(headers=USAGE))
            await asyncio.sleep(0.1)
            front.context.monitor.note_response(
                front.view.runner('r1'), 503, {'Retry-After': '30'}
            )
            assert harness.status(await task) == 200
            assert not backing_off.requests
            assert other.requests[0].header('Kv-From').endswith('/h1')
            assert len(requests_to(prefill)) == 1

    asyncio.run(work())


# Guards against a host that asks the leader without end, because the leader
# places the stream at a runner that the host has not heard of and must not
# use.
def test_a_runner_that_only_the_leader_knows_is_avoided_after_its_backoff():
    async def work():
        async with harness.running([streams], stages=[DECODE], **STREAM) as (
            front,
            _,
        ):
            unknown = builders.make_runner('new', port=9)
            front.context.monitor.note_response(
                unknown, 503, {'Retry-After': '30'}
            )
            requests = []

            async def place(request, hints):
                requests.append(request)
                is_new = 'new' not in request.avoid
                return placement.Placement(
                    request_id=request.request_id,
                    decode_id='new' if is_new else 'r0',
                    prefill_id='',
                    runners=(unknown,) if is_new else (),
                )

            front.scheduler.request_placement = place
            got = await front.request(headers=USAGE)
            assert harness.status(got) == 200
            assert len(requests) == 2

    asyncio.run(work())


# Guards against callers that wait for a runner which this host must not
# use, and against a refusal of a request that ran.
@pytest.mark.parametrize(
    ('hosts', 'longest_s'), [(1, 30.0), (7, 0.3)], ids=['alone', 'of-many']
)
def test_a_caller_is_refused_at_once_if_all_runners_asked_to_back_off(
    hosts, longest_s
):
    async def work():
        async with harness.running([Shedding(answers)], **PLAIN) as (
            front,
            (runner,),
        ):
            front.context._watch.entry_hosts = hosts
            await front.request()
            loop = asyncio.get_running_loop()
            started_s = loop.time()
            got = await front.request()
            assert loop.time() - started_s < 0.1
            assert harness.status(got) == 503
            assert _retry_after_s(got) <= longest_s
            assert _retry_after_s(got) > longest_s - 1.0
            assert len(runner.requests) == 1

    asyncio.run(work())


# Guards against a runner that is ejected or thought full because it asked
# one host to back off.
def test_a_backoff_says_nothing_about_a_runners_health():
    async def work():
        released = []
        async with harness.running(
            [prefills, Shedding(streams), streams],
            stages=[PREFILL, DECODE, DECODE],
            **STREAM,
        ) as (front, _):
            front.view.load('r2').tokens = 10
            front.scheduler.release = lambda service, release, **_: (
                released.append(release)
            )
            await front.request(headers=USAGE)
            assert front.view.load('r1').failures == 0
        assert not any(one.failed or one.full for one in released)

    asyncio.run(work())


@pytest.mark.parametrize('text', ['soon', '-1', 'nan', 'inf', ''])
def test_a_backoff_that_cannot_be_parsed_is_logged_and_ignored(text, caplog):
    async def work():
        async with harness.running(
            [Shedding(answers, backoff=text)], **PLAIN
        ) as (front, (runner,)):
            await front.request()
            await front.request()
            assert len(runner.requests) == 2

    asyncio.run(work())
    assert 'invalid backoff of a runner' in caplog.text


# Guards against a restarted runner that stays excluded, and against one
# whose backoff is forgotten because its old process asked for it.
def test_a_restart_ends_a_departure_but_not_a_backoff():
    async def work():
        async with harness.running([answers], **PLAIN) as (front, _):
            monitor = front.context.monitor
            before = front.view.runner('r0')
            monitor.note_response(before, 200, {'Server-Leaving': '1'})
            assert not monitor.accepts(before)
            after = dataclasses.replace(before, started_ms=7)
            front.view._runners['r0'] = after
            assert monitor.accepts(after)
            # A late response of the process before the restart.
            monitor.note_response(before, 200, {'Server-Leaving': '1'})
            assert monitor.accepts(after)
            monitor.note_response(before, 503, {'Retry-After': '30'})
            assert not monitor.accepts(after)

    asyncio.run(work())


# Guards against another runner at a reused address whose refusal counts
# for the runner that was there before.
def test_a_misdirected_response_says_nothing_about_its_runner():
    async def work():
        async with harness.running([answers], **PLAIN) as (front, _):
            monitor = front.context.monitor
            runner = front.view.runner('r0')
            headers = {'Server-Leaving': '1', 'Retry-After': '30'}
            monitor.note_response(runner, 421, headers)
            assert monitor.accepts(runner)

    asyncio.run(work())


def _retry_after_s(data):
    head = data.partition(b'\r\n\r\n')[0].decode()
    for line in head.split('\r\n'):
        if line.lower().startswith('retry-after:'):
            return float(line.partition(':')[2])
    return None
