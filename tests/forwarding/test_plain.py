"""Tests of plain requests and of all ways in which a runner breaks one."""

import asyncio
import dataclasses
import functools

import pytest

from limpetroute.routing import caller_limits
from limpetroute.routing import retry_budget
from limpetroute.routing import route_kind
from tests.forwarding import harness
from tests.forwarding import scripted_runner
from tests.routing import builders

ONCE = route_kind.RouteKind.ONCE
GOOD = scripted_runner.answers(scripted_runner.response(b'whole answer'))


def run(work):
    return asyncio.run(work)


async def _reset(request, writer):
    writer.transport.abort()


async def _truncated(request, writer):
    writer.write(scripted_runner.response(b'whole answer')[:-4])
    await writer.drain()


async def _garbage(request, writer):
    writer.write(b'\x00\x01 nonsense\r\n\r\n')
    await writer.drain()


async def _unframed_reset(request, writer):
    """Respond without a length and reset the connection before the end."""
    data = scripted_runner.response(b'half of it', Content_Length=None)
    writer.write(data)
    await writer.drain()
    await asyncio.sleep(0.05)
    sock = writer.get_extra_info('socket')
    sock.setsockopt(1, 13, b'\x01\x00\x00\x00\x00\x00\x00\x00')
    writer.transport.abort()


async def _response_to_another_request(request, writer):
    writer.write(scripted_runner.response(b'not yours', Request_Id='other'))
    await writer.drain()


BREAKING_SCRIPTS = [
    _reset,
    _truncated,
    _garbage,
    _unframed_reset,
    _response_to_another_request,
]


@pytest.mark.parametrize('kind', list(route_kind.RouteKind)[:2])
def test_status_body_and_headers_come_through(kind):
    async def work():
        answer = scripted_runner.response(b'\x00\xffbytes', 201, 'stamp.9')
        script = scripted_runner.answers(answer)
        async with harness.running([script], kind=kind) as (front, runners):
            got = await front.request(
                '/a/x%20y?q=1&r=%2F',
                method='POST',
                body=b'\x01\x02',
                headers='X-Other: kept\r\n',
            )
            (request,) = runners[0].requests
        assert harness.status(got) == 201
        assert got.endswith(b'\r\n\r\n\x00\xffbytes')
        assert b'Runner-Stamp: stamp.9' in got
        assert request.target == '/a/x%20y?q=1&r=%2F'
        assert request.body == b'\x01\x02'
        assert request.header('Host') == 'h.example'
        assert request.header('X-Other') == 'kept'
        assert request.header('Request-Id') == 'q1'
        assert request.header('Expect-Instance') == 'r0'
        assert 2000 < int(request.header('Deadline-Ms')) <= 3000

    run(work())


def test_a_chunked_body_comes_through_whole():
    async def work():
        async with harness.running([GOOD]) as (front, runners):
            reader, writer = await front.connect()
            writer.write(
                b'POST /a/x HTTP/1.1\r\nHost: h.example\r\n'
                b'Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n'
                b'3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n'
            )
            got = await reader.read()
            (request,) = runners[0].requests
        assert harness.status(got) == 200
        assert request.body == b'abcdefg'

    run(work())


@pytest.mark.parametrize('broken', BREAKING_SCRIPTS)
def test_an_idempotent_request_goes_to_another_runner(broken):
    async def work():
        async with harness.running([broken, broken, GOOD], max_sends=3) as (
            front,
            _,
        ):
            got = await front.request()
        assert harness.status(got) == 200
        assert got.endswith(b'whole answer')

    run(work())


@pytest.mark.parametrize('broken', BREAKING_SCRIPTS)
def test_a_request_that_must_run_once_is_never_sent_again(broken):
    """Guards against a request that runs twice, such as a payment order.

    The runner executes the request, and then its response breaks off.
    Sending the request to another runner would execute it again. The
    caller must get an error that says that the outcome is unknown, and
    not that the request did not run.
    """

    async def work():
        async with harness.running(
            [broken, broken], kind=ONCE, max_sends=2
        ) as (front, runners):
            got = await front.request(method='POST', body=b'x')
            sends = sum(len(one.requests) for one in runners)
        assert sends == 1
        assert harness.status(got) == 502
        assert b'Runner-Stamp' not in got

    run(work())


def test_a_refusal_with_proof_is_passed_on_as_one():
    async def work():
        refuse = scripted_runner.answers(
            scripted_runner.response(b'', 503, Not_Run='1')
        )
        async with harness.running(
            [refuse, refuse], kind=ONCE, max_sends=2
        ) as (front, runners):
            got = await front.request(method='POST', body=b'x')
            sends = sum(len(one.requests) for one in runners)
        assert sends == 2
        assert harness.status(got) == 503
        assert b'Retry-After' in got

    run(work())


def test_a_misdirected_send_does_not_count_as_run():
    async def work():
        other = scripted_runner.answers(scripted_runner.response(b'', 421))
        async with harness.running(
            [other, GOOD, other], kind=ONCE, max_sends=3
        ) as (front, _):
            got = await front.request(method='POST', body=b'x')
        assert harness.status(got) == 200

    run(work())


def test_a_runners_error_response_is_relayed():
    async def work():
        error = scripted_runner.answers(
            scripted_runner.response(b'my error', 500, 'stamp.3')
        )
        async with harness.running([error], max_sends=1) as (front, _):
            got = await front.request()
        assert harness.status(got) == 500
        assert got.endswith(b'my error')
        assert b'stamp.3' in got

    run(work())


def test_extra_bytes_after_an_answer_reach_nobody():
    """A runner sends a second response; the next caller must not get it."""

    async def work():
        twice = scripted_runner.response(b'mine') + scripted_runner.response(
            b'extra', 200, 'stamp.extra'
        )
        async with harness.running([scripted_runner.answers(twice)]) as (
            front,
            _,
        ):
            for _ in range(3):
                got = await front.request()
                assert got.endswith(b'mine')
                assert b'extra' not in got

    run(work())


def test_an_answer_that_ends_with_its_connection_is_whole():
    async def work():
        data = scripted_runner.response(b'all of it', Content_Length=None)
        script = scripted_runner.answers(data)
        async with harness.running([script]) as (front, _):
            got = await front.request()
        assert harness.status(got) == 200
        assert got.endswith(b'all of it')

    run(work())


def test_an_early_answer_to_a_long_body_comes_through():
    """A runner responds before it has read all of a long request.

    A router that writes the whole body before it reads the response would
    deadlock with a runner that waits for its response to be read.
    """

    async def work():
        early = scripted_runner.answers(
            scripted_runner.response(b'too long', 413, 'stamp.1')
        )
        async with harness.running([early], kind=ONCE) as (front, runners):
            runners[0].skips_body = True
            body = b'x' * 3_000_000
            async with asyncio.timeout(2.5):
                got = await front.request(method='POST', body=body)
        assert harness.status(got) == 413

    run(work())


def test_the_routes_timeout_is_answered_at_once():
    async def work():
        async def silent(request, writer):
            await asyncio.sleep(5)

        async with harness.running([silent], timeout_s=0.3) as (front, _):
            loop = asyncio.get_running_loop()
            started_s = loop.time()
            got = await front.request()
            took_s = loop.time() - started_s
        assert harness.status(got) == 504
        assert 0.25 < took_s < 0.6

    run(work())


def test_the_log_names_the_runner_that_a_request_waited_for(caplog):
    """Guards against a timed-out request whose runner is not in the log.

    The route's timeout cancelled the send before its result was known, so
    the log line that names the runner was never written. On-call engineers
    have only the id of such a request.
    """

    async def work():
        async def silent(request, writer):
            await asyncio.sleep(5)

        async with harness.running([silent], timeout_s=0.3) as (front, _):
            with caplog.at_level('INFO'):
                assert harness.status(await front.request()) == 504

    run(work())
    (sent,) = [one for one in caplog.records if one.message == 'sent']
    assert (sent.request, sent.runner, sent.result) == ('q1', 'r0', 'cut')
    assert 250 < sent.took_ms < 600


def test_a_caller_that_leaves_ends_the_work():
    """Guards against a runner slot that stays in use for a gone caller."""

    async def work():
        async def slow(request, writer):
            await asyncio.sleep(5)

        async with harness.running([slow]) as (front, runners):
            _, writer = await front.connect()
            writer.write(
                b'GET /a/x HTTP/1.1\r\nHost: h.example\r\n'
                b'Request-Id: q1\r\n\r\n'
            )
            while not runners[0].requests:
                await asyncio.sleep(0.01)
            writer.close()
            await asyncio.sleep(0.3)
            assert runners[0].requests[0].closed
            assert not front.forwarder.active

    run(work())


def test_an_unreachable_runner_is_skipped():
    async def work():
        async with harness.running([GOOD, GOOD, GOOD], kind=ONCE) as (
            front,
            runners,
        ):
            await runners[0].stop()
            await runners[1].stop()
            for _ in range(4):
                got = await front.request(method='POST', body=b'x')
                assert harness.status(got) == 200

    run(work())


def test_a_request_without_a_route_is_not_found():
    async def work():
        async with harness.running([GOOD]) as (front, _):
            assert harness.status(await front.request('/other/')) == 404

    run(work())


def test_without_routes_callers_get_a_retry_time():
    async def work():
        async with harness.running([GOOD]) as (front, _):
            front.view.plan = None
            got = await front.request()
        assert harness.status(got) == 503
        assert b'Retry-After: 1.5' in got

    run(work())


@pytest.mark.parametrize(
    'raw',
    [
        b'GET /a/x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n'
        b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
        b'POST /a/x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n'
        b'Content-Length: 4\r\n\r\nabcd',
        b'GARBAGE\r\n\r\n',
        b'GET /a/x HTTP/1.1\r\nbad header line\r\n\r\n',
    ],
)
def test_requests_that_could_hide_another_never_reach_a_runner(raw):
    async def work():
        async with harness.running([GOOD]) as (front, runners):
            reader, writer = await front.connect()
            writer.write(raw)
            async with asyncio.timeout(2):
                got = await reader.read()
            assert not got or harness.status(got) == 400
            assert not runners[0].requests
            again = await front.request()
            assert harness.status(again) == 200

    run(work())


def test_a_body_beyond_the_limit_is_refused_without_side_effects():
    async def work():
        async with harness.running([GOOD]) as (front, runners):
            limits = caller_limits.CallerLimits(max_body_bytes=100)
            front.front.apply_limits(limits)
            got = await front.request(method='POST', body=b'x' * 200)
            assert not got or harness.status(got) in (400, 413)
            assert not runners[0].requests
            got = await front.request(method='POST', body=b'x' * 100)
            assert harness.status(got) == 200

    run(work())


def test_an_idle_connection_is_kept_for_the_limit_and_no_longer():
    async def work():
        async with harness.running([GOOD]) as (front, _):
            front.front.apply_limits(
                caller_limits.CallerLimits(
                    idle_timeout_s=0.5, header_timeout_s=0.1
                )
            )
            reader, writer = await front.connect()
            request = b'GET /a/x HTTP/1.1\r\nHost: h.example\r\n\r\n'
            for _ in range(2):
                writer.write(request)
                await reader.readuntil(b'whole answer')
                await asyncio.sleep(0.35)
            async with asyncio.timeout(1):
                assert await reader.read() == b''

    run(work())


# Guards against a request that is given up, as a connect that failed has used
# up the only retry.
def test_a_failed_connect_uses_up_no_retry():
    async def work():
        scripts = [
            _reset,
            scripted_runner.answers(scripted_runner.response(b'whole')),
        ]
        async with harness.running(scripts, max_sends=3) as (front, _):
            front.context._make_retry_budget = functools.partial(
                retry_budget.RetryBudget, ratio=0.0, slack=2.0, window_s=30.0
            )
            lost = dataclasses.replace(
                builders.make_runner('lost', None, port=1), service='plain'
            )
            front.view._by_service['plain'].append(lost)
            # The order in which they are chosen.
            for number, name in enumerate(('r0', 'lost', 'r1')):
                front.view.load(name).requests = number
            got = await front.request()
            return got, front.view.load('lost').failures

    got, failures = asyncio.run(work())
    assert harness.status(got) == 200
    assert got.endswith(b'whole')
    assert failures == 1
