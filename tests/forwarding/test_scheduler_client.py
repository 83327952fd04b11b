"""Asking the leading control host for places."""

import asyncio
import json

from limpetroute.border import placement_bodies
from limpetroute.forwarding import scheduler_client
from limpetroute.routing import placement
from limpetroute.wire import call_failed
from limpetroute.wire import reply
from tests.routing import builders


class Leader:
    """Stands in for the client; gives every place that is asked for."""

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


def own_place(name):
    return placement.Placement(request_id=name, decode_id='d', prefill_id='p')


def test_what_a_host_gave_itself_is_told_once_the_leader_answers_again():
    """A host is cut off from control and decides for itself.

    When it is back, its streams run on for seconds. The leader counted
    without them and filled the same runner: 15 streams refused within
    3 s, with their prompts read.
    """

    async def work():
        leader = Leader()
        client = scheduler_client.SchedulerClient(http=leader)
        client.note_local_placement(
            own_place('own'), builders.make_request('own')
        )
        client.follow('http://127.0.0.1:1')
        await asyncio.sleep(0)
        leader.calls.clear()
        client.note_local_placement(
            own_place('two'), builders.make_request('two')
        )
        await client.request_placement(builders.make_request('asked'))
        await asyncio.sleep(0)
        told = [body for kind, body in leader.calls if kind == 'held']
        await client.request_placement(builders.make_request('more'))
        await asyncio.sleep(0)
        again = [body for kind, body in leader.calls if kind == 'held']
        return told, again

    told, again = asyncio.run(work())
    names = [one['asked']['request_id'] for one in told[0]['held']]
    assert sorted(names)[:2] == ['asked', 'own']
    assert 'two' in names
    assert len(again) == len(told) == 1


def test_a_first_event_is_told_of_streams_that_are_held():
    async def work():
        leader = Leader()
        client = scheduler_client.SchedulerClient(http=leader)
        client.follow('http://127.0.0.1:1')
        await client.request_placement(
            builders.make_request('held', attempt=3)
        )
        client.note_first_event('model', 'held', 3, 0.2)
        client.note_first_event('model', 'unknown', 1, 0.2)
        await asyncio.sleep(0)
        return [body for kind, body in leader.calls if kind == 'first-event']

    (body,) = asyncio.run(work())
    assert placement_bodies.FirstEventBody(**body).took_s == 0.2


def test_each_ask_for_a_place_has_a_number_of_its_own():
    client = scheduler_client.SchedulerClient(http=Leader())
    assert client.next_attempt() != client.next_attempt()


def test_a_new_leader_that_missed_what_is_held_is_told_again():
    """A new leader fills runners beyond their memory.

    Entry hosts tell it which streams they hold, in one call. Where that
    call failed, nobody told it again, and no log line said so.
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
        client = scheduler_client.SchedulerClient(http=leader)
        client.note_placement(own_place('own'), builders.make_request('own'))
        client.follow('http://127.0.0.1:1')
        await asyncio.sleep(0)
        await client.request_placement(builders.make_request('asked'))
        await asyncio.sleep(0)
        return [body for kind, body in leader.calls if kind == 'held']

    told = asyncio.run(work())
    assert len(told) == 2
    names = [one['asked']['request_id'] for one in told[1]['held']]
    assert 'own' in names
