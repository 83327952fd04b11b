"""Tests of how one host enforces the rate limits of runners."""

import asyncio
import dataclasses

from limpetroute.forwarding import fleet_view
from limpetroute.forwarding import leader_channel
from limpetroute.forwarding import rate_limit_client
from limpetroute.platform import http_dialect
from limpetroute.routing import plain_runner_choice
from limpetroute.routing import route_kind
from limpetroute.wire import call_failed
from limpetroute.wire import reply
from tests.forwarding import harness
from tests.forwarding import scripted_runner
from tests.routing import builders


class Leader:
    """Responds with a body set by the test; None is a timeout."""

    def __init__(self, body=b'{"allowed": true, "wait_s": 0.0}'):
        self.body = body
        self.calls = []

    async def call(self, *, body, **fields):
        self.calls.append(body)
        if self.body is None:
            kind = call_failed.FailureKind.TIMEOUT
            return call_failed.CallFailed(kind=kind, sent=True)
        return reply.Reply(status=200, headers={}, body=self.body)


class Host:
    def __init__(self, leader, hosts=1):
        self.view = fleet_view.FleetView(dialect=http_dialect.HttpDialect())
        self.runner = builders.make_runner('r', None, started_ms=5)
        self.view._runners['r'] = self.runner
        self.channel = leader_channel.LeaderChannel(http=leader)
        self.client = rate_limit_client.RateLimitClient(
            channel=self.channel, view=self.view, entry_hosts=lambda: hosts
        )
        self.channel.follow('http://leader')

    def take(self):
        return self.client.take(self.runner)


def test_no_call_is_made_for_a_runner_without_a_limit():
    async def work():
        leader = Leader()
        host = Host(leader)
        host.client.note_limit(host.runner, None)
        assert await host.take()
        assert not leader.calls

    asyncio.run(work())


def test_the_leader_grants_each_request_to_a_limited_runner():
    async def work():
        leader = Leader()
        host = Host(leader)
        host.client.note_limit(host.runner, 3.0)
        assert await host.take()
        assert [one['takes'] for one in leader.calls] == [True]
        assert leader.calls[0]['limit_per_s'] == 3.0
        leader.body = b'{"allowed": false, "wait_s": 0.3}'
        assert not await host.take()
        assert host.view.load('r').is_limited(
            asyncio.get_running_loop().time() + 0.25
        )
        # The refusal still holds, so there is no further call.
        assert not await host.take()
        assert len([one for one in leader.calls if one['takes']]) == 2

    asyncio.run(work())


def test_a_host_without_a_leader_sends_a_part_of_its_share(monkeypatch):
    """Hosts that cannot reach a leader stay within the limit together."""
    monkeypatch.setattr(rate_limit_client, 'UNREACHABLE_S', 0.02)

    async def work():
        host = Host(Leader(None), hosts=2)
        host.client.note_limit(host.runner, 40.0)
        sent = 0
        end_s = asyncio.get_running_loop().time() + 1.0
        while asyncio.get_running_loop().time() < end_s:
            sent += await host.take()
            await asyncio.sleep(0.005)
        assert 2 <= sent <= 40.0 / 2

    asyncio.run(work())


def test_known_limits_are_reported_to_a_new_leader():
    async def work():
        leader = Leader()
        host = Host(leader)
        host.client.note_limit(host.runner, 3.0)
        await asyncio.sleep(0.01)
        leader.calls.clear()
        host.channel.follow('http://other')
        await asyncio.sleep(0.01)
        assert [one['takes'] for one in leader.calls] == [False]

    asyncio.run(work())


def test_the_end_of_a_limit_is_reported_until_received(monkeypatch):
    """Otherwise the leader keeps placing streams by an outdated limit."""
    monkeypatch.setattr(rate_limit_client, 'UNREACHABLE_S', 0.0)
    monkeypatch.setattr(rate_limit_client, 'REPORT_AGAIN_S', 0.0)

    async def work():
        leader = Leader()
        host = Host(leader)
        host.client.note_limit(host.runner, 3.0)
        await asyncio.sleep(0.01)
        leader.body = None
        host.client.note_limit(host.runner, None)
        await asyncio.sleep(0.01)
        leader.body = Leader().body
        host.client.note_limit(host.runner, None)
        await asyncio.sleep(0.01)
        assert leader.calls[-1]['limit_per_s'] is None
        count = len(leader.calls)
        host.client.note_limit(host.runner, None)
        await asyncio.sleep(0.01)
        assert len(leader.calls) == count
        assert await host.take()

    asyncio.run(work())


def test_a_restarted_runner_has_no_limit_yet():
    async def work():
        host = Host(Leader())
        host.client.note_limit(host.runner, 3.0)
        again = dataclasses.replace(host.runner, started_ms=6)
        host.view._runners['r'] = again
        host.view.loads.pop('r')
        assert await host.client.take(again)

    asyncio.run(work())


def test_a_limited_runner_is_skipped_until_its_limit_allows_a_request():
    runners = [builders.make_runner(name, None) for name in ('r1', 'r2')]
    view = fleet_view.FleetView(dialect=http_dialect.HttpDialect())
    view.load('r1').limited_until_s = 10.3
    args = {'loads': view.loads, 'tried': (), 'now_s': 10.0}
    rng = harness.random.Random(1)
    for _ in range(20):
        one = plain_runner_choice.choose(runners, zone='a', rng=rng, **args)
        assert one.runner_id == 'r2'
    assert plain_runner_choice.limit_wait_s(runners[:1], **args) == 10.3 - 10.0
    assert plain_runner_choice.limit_wait_s(runners[1:], **args) == 0.0


def _announces(text):
    return scripted_runner.answers(
        scripted_runner.response(Server_Limit=text, Connection='close')
    )


def test_a_request_beyond_all_limits_is_refused_with_a_retry_time():
    async def work():
        kind = {'kind': route_kind.RouteKind.IDEMPOTENT}
        async with harness.running([_announces('2.0')], **kind) as (front, _):
            assert harness.status(await front.request()) == 200
            refused = await front.request()
        assert harness.status(refused) == 503
        assert b'Retry-After: 0.' in refused
        assert b'runners take no more' in refused

    asyncio.run(work())


def test_an_invalid_limit_keeps_no_requests_from_a_runner(caplog):
    caplog.set_level('INFO')

    async def work():
        kind = {'kind': route_kind.RouteKind.IDEMPOTENT}
        async with harness.running([_announces('nan')], **kind) as (front, _):
            got = [harness.status(await front.request()) for _ in range(3)]
        assert got == [200, 200, 200]

    asyncio.run(work())
    assert caplog.text.count('invalid rate limit of a runner') == 1
