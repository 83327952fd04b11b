"""Tests of placement requests to the leading control host."""

import asyncio
import json

from limpetroute.border import placement_bodies
from limpetroute.forwarding import leader_channel
from limpetroute.forwarding import scheduler_client
from limpetroute.routing import placement
from limpetroute.wire import call_failed
from limpetroute.wire import reply
from tests.routing import builders


class Leader:
    """Replaces the HTTP client and grants every placement request."""

    def __init__(self):
        self.calls = []

    async def call(self, *, url, body, **rest):
        self.calls.append((url.rpartition('/')[2], body))
        if not url.endswith('/v1/places'):
            return reply.Reply(status=204, headers={}, body=b'')
        place = {
            'request_id': body['request_id'],
            'decode_id': 'd',
            'prefill_id': 'p',
        }
        return reply.Reply(
            status=200, headers={}, body=json.dumps(place).encode()
        )


def local_placement(name):
    return placement.Placement(request_id=name, decode_id='d', prefill_id='p')


def test_local_placements_are_reported_once_the_leader_responds_again():
    """Guards against a leader that does not count local placements.

    A host that cannot reach the leader places streams locally. When the
    leader is reachable again, these streams run on for seconds. The leader
    did not count them and filled the same runner: 15 streams were refused
    within 3 s after their prompts had been prefilled.
    """

    async def work():
        leader = Leader()
        client = scheduler_client.SchedulerClient(
            channel=leader_channel.LeaderChannel(http=leader)
        )
        client.note_local_placement(
            local_placement('own'), builders.make_request('own')
        )
        client._channel.follow('http://127.0.0.1:1')
        await asyncio.sleep(0)
        leader.calls.clear()
        client.note_local_placement(
            local_placement('two'), builders.make_request('two')
        )
        await client.request_placement(builders.make_request('asked'))
        await asyncio.sleep(0)
        reports = [body for kind, body in leader.calls if kind == 'held']
        await client.request_placement(builders.make_request('more'))
        await asyncio.sleep(0)
        reports_later = [body for kind, body in leader.calls if kind == 'held']
        return reports, reports_later

    reports, reports_later = asyncio.run(work())
    names = [one['asked']['request_id'] for one in reports[0]['held']]
    assert sorted(names)[:2] == ['asked', 'own']
    assert 'two' in names
    assert len(reports_later) == len(reports) == 1


def test_first_events_are_reported_for_held_placements_only():
    async def work():
        leader = Leader()
        client = scheduler_client.SchedulerClient(
            channel=leader_channel.LeaderChannel(http=leader)
        )
        client._channel.follow('http://127.0.0.1:1')
        await client.request_placement(
            builders.make_request('held', attempt=3)
        )
        client.note_first_event('model', 'held', 3, 0.2)
        client.note_first_event('model', 'unknown', 1, 0.2)
        await asyncio.sleep(0)
        return [body for kind, body in leader.calls if kind == 'first-event']

    (body,) = asyncio.run(work())
    assert placement_bodies.FirstEventBody(**body).took_s == 0.2


def test_attempt_numbers_are_unique():
    client = scheduler_client.SchedulerClient(
        channel=leader_channel.LeaderChannel(http=Leader())
    )
    assert client.next_attempt() != client.next_attempt()


def test_a_failed_report_of_held_placements_is_repeated():
    """Guards against a new leader that overfills the memory of runners.

    Entry hosts report their held placements to a new leader in one call.
    When that call failed, it was neither repeated nor logged.
    """

    class LateLeader(Leader):
        async def call(self, *, url, body, **rest):
            got = await super().call(url=url, body=body, **rest)
            held = [kind for kind, _ in self.calls if kind == 'held']
            if url.endswith('/held') and len(held) == 1:
                return call_failed.CallFailed(
                    kind=call_failed.FailureKind.TIMEOUT, sent=True
                )
            return got

    async def work():
        leader = LateLeader()
        client = scheduler_client.SchedulerClient(
            channel=leader_channel.LeaderChannel(http=leader)
        )
        client.note_placement(
            local_placement('own'), builders.make_request('own')
        )
        client._channel.follow('http://127.0.0.1:1')
        await asyncio.sleep(0)
        await client.request_placement(builders.make_request('asked'))
        await asyncio.sleep(0)
        return [body for kind, body in leader.calls if kind == 'held']

    reports = asyncio.run(work())
    assert len(reports) == 2
    names = [one['asked']['request_id'] for one in reports[1]['held']]
    assert 'own' in names
