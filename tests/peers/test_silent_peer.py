import asyncio

import tornado.httpserver
import tornado.netutil
import tornado.web

from limpetroute.entry.peering import peer_calls
from limpetroute.wire import caller
from tests.entry import silent_proxy


class _SlowHandler(tornado.web.RequestHandler):
    async def post(self):
        if self.request.body == b'slow':
            await asyncio.sleep(0.2)
        self.finish(b'heard')


def test_silent_connection_between_hosts_costs_one_deadline():
    """A middlebox between two hosts drops the packets of one connection.

    Both hosts are alive, and new connections work. The call on the
    dropped connection must fail at its deadline, and the next call must
    succeed.
    """

    async def scenario():
        server = tornado.httpserver.HTTPServer(
            tornado.web.Application([('/v1/peers/members', _SlowHandler)])
        )
        sockets = tornado.netutil.bind_sockets(0, '127.0.0.1')
        server.add_sockets(sockets)
        proxy = silent_proxy.SilentProxy(sockets[0].getsockname()[1])
        await proxy.start()
        calls = peer_calls.PeerCalls(http=caller.Caller(), timeout_s=0.5)
        url = f'http://127.0.0.1:{proxy.port}'
        call = asyncio.create_task(calls.post(url, 'members', b'slow'))
        await asyncio.sleep(0.1)
        proxy.silence()
        assert await asyncio.wait_for(call, 5) is None
        assert await calls.post(url, 'members', b'again') == b'heard'
        assert calls.counts['members_failed'] == 1
        assert proxy.connections == 2
        await proxy.stop()
        server.stop()
        await server.close_all_connections()

    asyncio.run(scenario())
