"""What one call between our processes costs, apart from its content."""

import asyncio
import typing

import tornado.httpserver
import tornado.netutil
import tornado.web

from limpetroute.bench import loop_thread
from limpetroute.bench.capacity import counting_relay  # noqa: H306
from limpetroute.bench.capacity import figure
from limpetroute.wire import call_failed
from limpetroute.wire import caller

CALLS = 300
BODY = {'k': 'ping', 'n': 1000}
TIMEOUT_S = 5.0
TOKEN = 'a' * 43


class _Echo(tornado.web.RequestHandler):
    def post(self) -> None:
        self.set_header('Content-Type', 'application/json')
        self.finish(self.request.body)


class WireProbe:
    """Sends small bodies through a relay that counts bytes.

    The server and the client run in threads of their own, so that each
    one's CPU is known.
    """

    def measure(self) -> list[figure.Figure]:
        """Make calls and read bytes and CPU of both ends."""
        server_thread = loop_thread.LoopThread(name='probe')
        client_thread = loop_thread.LoopThread(name='probe')
        relay_thread = loop_thread.LoopThread(name='probe')
        try:
            port = server_thread.run(_serve())
            relay = counting_relay.CountingRelay(port=port)
            relay_port = relay_thread.run(relay.start())
            client_thread.run(_call(relay_port, CALLS))
            server_s = server_thread.cpu_s()
            client_s = client_thread.cpu_s()
            counted = relay.total
            body_bytes = client_thread.run(_call(relay_port, CALLS))
            server_s = server_thread.cpu_s() - server_s
            client_s = client_thread.cpu_s() - client_s
            counted = relay.total - counted
        finally:
            for thread in (client_thread, relay_thread, server_thread):
                thread.stop()
        overhead = counted / CALLS - 2 * body_bytes
        how = f'{CALLS} calls, a connection each, bearer token'
        return [
            figure.Figure(
                name='wire.call_overhead_bytes',
                value=overhead,
                unit='B',
                how=f'{how}; headers both ways, without TCP and IP',
            ),
            figure.Figure(
                name='wire.call_server_cpu_us',
                value=server_s / CALLS * 1e6,
                unit='us',
                how=how,
            ),
            figure.Figure(
                name='wire.call_client_cpu_us',
                value=client_s / CALLS * 1e6,
                unit='us',
                how=how,
            ),
        ]


async def _serve() -> int:
    routes: list[typing.Any] = [tornado.web.url('/v1/peers/ping', _Echo)]
    server = tornado.httpserver.HTTPServer(
        tornado.web.Application(routes, log_function=lambda handler: None)
    )
    sockets = tornado.netutil.bind_sockets(0, '127.0.0.1')
    server.add_sockets(sockets)
    return int(sockets[0].getsockname()[1])


async def _call(port: int, count: int) -> int:
    http = caller.Caller(token=TOKEN)
    size = 0
    for _ in range(count):
        got = await http.call(
            method='POST',
            url=f'http://127.0.0.1:{port}/v1/peers/ping',
            body=BODY,
            timeout_s=TIMEOUT_S,
        )
        if isinstance(got, call_failed.CallFailed):
            raise RuntimeError(f'call failed: {got}')
        size = len(got.body)
    await asyncio.sleep(0)
    return size
