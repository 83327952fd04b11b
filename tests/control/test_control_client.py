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


def test_concurrent_posts_do_not_move_each_other_off_the_leader():
    """Guards against calls that cycle through the hosts despite a leader.

    After a change of leader, each call that failed at the dead host moved
    the shared URL on from the leader that another call had just found. For
    seconds all calls cycled through the hosts in step.
    """

    async def run():
        http = _Hosts()
        http.calls = 0
        urls = ['http://leader', 'http://dead', 'http://follower']
        client = control_client.ControlClient(urls=urls, http=http)
        client._next_url = 'http://dead'

        async def post():
            return await client.post(path='/x', body={}, timeout_s=5.0)

        got = await asyncio.gather(post(), post())
        assert all(isinstance(one, control_client.Answered) for one in got)
        # The fast call tries the dead host, the follower and the leader; the
        # slow call tries the dead host and then the leader.
        assert http.calls == 5

    asyncio.run(run())
