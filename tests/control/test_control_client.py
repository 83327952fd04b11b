import asyncio
import json

from limpetroute.control import control_client
from limpetroute.wire import call_failed
from limpetroute.wire import caller
from limpetroute.wire import reply

FIRST_S = 0.2


class _Hosts(caller.Caller):
    """A dead host, a follower and the leader."""

    __slots__ = ('calls',)

    async def call(self, **kwargs):
        self.calls += 1
        if kwargs['url'].startswith('http://dead'):
            await asyncio.sleep(FIRST_S if self.calls == 1 else 0.0)
            return call_failed.CallFailed(
                kind=call_failed.FailureKind.CONNECT, sent=False
            )
        body = {'outcome': 'given', 'fence': 1}
        status = 200
        if kwargs['url'].startswith('http://follower'):
            body = {'outcome': 'not_leader', 'leader_url': 'http://leader'}
            status = 421
        return reply.Reply(
            status=status, headers={}, body=json.dumps(body).encode()
        )


def test_askers_do_not_turn_each_other_away():
    """The leader is killed, another leads, and claims still wait.

    Each asker that met the dead host turned the shared pointer away
    from the leader that another had just found: for seconds all of them
    walked round in step, with a leader in good health.
    """

    async def story():
        http = _Hosts()
        http.calls = 0
        urls = ['http://leader', 'http://dead', 'http://follower']
        client = control_client.ControlClient(urls=urls, http=http)
        client._next_url = 'http://dead'

        async def ask():
            return await client.post(path='/x', body={}, timeout_s=5.0)

        got = await asyncio.gather(ask(), ask())
        assert all(isinstance(one, control_client.Answered) for one in got)
        # The quick one: dead host, follower, leader. The slow one: dead
        # host, then at once the leader.
        assert http.calls == 5

    asyncio.run(story())
