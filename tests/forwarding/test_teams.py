"""Whose request it is, and what happens at one host without a key."""

import asyncio
import dataclasses
import json

from limpetroute.routing import route_kind
from limpetroute.routing import team
from limpetroute.routing import team_index
from limpetroute.wire import reply
from tests.forwarding import harness
from tests.forwarding import scripted_runner
from tests.routing import builders

ONCE = route_kind.RouteKind.ONCE
STREAM = route_kind.RouteKind.STREAM
GOOD = scripted_runner.answers(scripted_runner.response(b'whole answer'))
EVENTS = scripted_runner.answers(
    scripted_runner.STREAM_HEAD
    + scripted_runner.chunk(scripted_runner.event(1))
    + scripted_runner.LAST_CHUNK
)
FULL = scripted_runner.answers(
    scripted_runner.response(b'', status=503, stamp=None, Not_Run='1')
)
KEY = 'Authorization: Token k1\r\n'
QUOTA = team.Quota(
    rate_per_s=1.0, burst=2.0, counts_tokens=True, default_tokens=1.0
)


class Leader:
    """Answers what the leader is asked."""

    def __init__(self, version=1, levels=None):
        self.version = version
        self.levels = levels or {}
        self.paths = []
        self.bodies = []

    async def call(self, *, url, body=None, **rest):
        path = url.removeprefix('http://leader')
        self.paths.append(path)
        self.bodies.append(body)
        answer = {'version': self.version}
        if path == '/v1/quotas':
            answer = {'levels': self.levels, 'low': [], 'term': 1}
        return reply.Reply(
            status=200, headers={}, body=json.dumps(answer).encode()
        )


def use_teams(host, *teams, leader=None):
    """Put teams in force at a host, with a leader to ask."""
    host.view.plan = dataclasses.replace(
        host.view.plan, teams=team_index.TeamIndex(teams=teams)
    )
    host.view.routes = dataclasses.replace(host.view.routes, version=1)
    host.channel._http = leader or Leader()
    host.channel.follow('http://leader')


def make_team(name, *keys, **fields):
    digests = tuple(team.key_digest(key) for key in keys)
    return team.Team(name=name, key_digests=digests, **fields)


def play(work, *scripts, **fields):
    async def run():
        async with harness.running(scripts or [GOOD], **fields) as (
            host,
            runners,
        ):
            await work(host, runners)

    asyncio.run(run())


def test_a_runner_gets_the_team_and_never_the_key():
    async def work(host, runners):
        use_teams(host, make_team('bank', 'k1'))
        data = await host.request(headers=f'{KEY}Tenant: court\r\n')
        assert harness.status(data) == 200
        (request,) = runners[0].requests
        assert request.header('Tenant') == 'bank'
        assert request.header('Authorization') is None

    play(work)


def test_a_caller_cannot_name_its_team_where_there_are_none():
    async def work(host, runners):
        headers = 'Tenant: court\r\nAuthorization: Basic abc\r\n'
        assert harness.status(await host.request(headers=headers)) == 200
        (request,) = runners[0].requests
        assert request.header('Tenant') is None
        assert request.header('Authorization') == 'Basic abc'

    play(work)


def test_without_a_known_key_nothing_runs():
    async def work(host, runners):
        use_teams(host, make_team('bank', 'k1'))
        for headers in ('', 'Authorization: Token k2\r\n', 'Tenant: bank\r\n'):
            data = await host.request(headers=headers)
            assert harness.status(data) == 401
        assert not runners[0].requests

    play(work)


def test_a_public_route_needs_no_key():
    async def work(host, runners):
        use_teams(host, make_team('bank', 'k1'))
        assert harness.status(await host.request()) == 200
        await host.request(headers=KEY)
        assert [one.header('Tenant') for one in runners[0].requests] == [
            None,
            'bank',
        ]

    play(work, public=True)


def test_a_host_that_is_behind_does_not_refuse_a_new_key():
    """A caller gives up after 401, and its key was just added."""

    async def work(host, runners):
        leader = Leader(version=2)
        use_teams(host, make_team('bank', 'k1'), leader=leader)

        async def arrive():
            await asyncio.sleep(0.1)
            use_teams(host, make_team('bank', 'k1', 'k2'), leader=leader)
            host.view.routes = dataclasses.replace(host.view.routes, version=2)

        task = asyncio.create_task(arrive())
        data = await host.request(headers='Authorization: Token k2\r\n')
        assert harness.status(data) == 200
        await task

    play(work)


def test_a_host_that_cannot_know_says_to_come_back():
    async def work(host, runners):
        use_teams(host, make_team('bank', 'k1'))
        host.channel.follow('')
        data = await host.request(headers='Authorization: Token k2\r\n')
        assert harness.status(data) == 503
        assert b'Retry-After' in data

    play(work)


def test_unknown_keys_share_a_call_to_the_leader():
    """A flood of wrong keys must not become one of calls."""

    async def work(host, runners):
        leader = Leader()
        use_teams(host, make_team('bank', 'k1'), leader=leader)
        headers = 'Authorization: Token k2\r\n'
        await asyncio.gather(
            *(host.request(headers=headers) for _ in range(20))
        )
        assert len(leader.paths) <= 10

    play(work)


def test_a_key_that_is_taken_away_while_the_request_waits_is_not_served():
    async def work(host, runners):
        use_teams(host, make_team('bank', 'k1'))
        first = runners[0]

        async def full_once(request, writer):
            use_teams(host, make_team('bank', 'k9'))
            writer.write(
                scripted_runner.response(
                    b'', status=503, stamp=None, Not_Run='1'
                )
            )
            await writer.drain()

        for one in runners:
            one.script = full_once
        data = await host.request(headers=KEY)
        assert harness.status(data) == 503
        assert sum(len(one.requests) for one in runners) == 1
        assert first is runners[0]

    play(work, GOOD, GOOD)


def test_over_quota_is_refused_with_a_time_to_return():
    async def work(host, runners):
        leader = Leader(levels={'bank': -2.0})
        bank = make_team('bank', 'k1', quota=QUOTA)
        use_teams(host, bank, leader=leader)
        assert harness.status(await host.request(headers=KEY)) == 200
        await asyncio.sleep(0.4)
        assert leader.bodies[-1]['spent'] == {'bank': 1.0}
        data = await host.request(headers=KEY)
        assert harness.status(data) == 429
        retry_after = data.partition(b'Retry-After: ')[2].split(b'\r\n')[0]
        assert 2.0 < float(retry_after) <= 3.0
        assert len(runners[0].requests) == 1

    play(work, kind=ONCE)


def test_the_cost_of_a_request_that_did_not_run_is_given_back():
    async def work(host, runners):
        leader = Leader(levels={'bank': 5.0})
        use_teams(host, make_team('bank', 'k1', quota=QUOTA), leader=leader)
        assert harness.status(await host.request(headers=KEY)) == 503
        await asyncio.sleep(0.4)
        spent = [body['spent'] for body in leader.bodies if body]
        assert sum(one.get('bank', 0.0) for one in spent) == 0.0

    play(work, FULL, kind=ONCE, max_sends=1)


def test_a_cut_off_host_serves_a_stream_of_a_calm_team():
    async def work(host, runners):
        bank = make_team('bank', 'k1', quota=QUOTA)
        use_teams(host, bank)
        await host.request(target='/a/x', headers=f'{KEY}Token-Usage: x\r\n')
        await asyncio.sleep(0.4)
        host.channel.follow('')
        headers = f'{harness.STREAM_HEADERS}{KEY}'
        assert harness.status(await host.request(headers=headers)) == 200
        data = await host.request(headers=headers)
        assert harness.status(data) == 503
        assert b'share of the quota' in data

    play(work, EVENTS, stages=[builders.DECODE], kind=STREAM)
