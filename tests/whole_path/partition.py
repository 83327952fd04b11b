"""Cuts one entry host's links to runners, from outside the processes.

The host's control group is a proxy that names other addresses for the
runners. There, connections are passed on to the runners until they are cut.
"""

import asyncio
import contextlib
import enum
import json
import socket

from tornado import httpserver
from tornado import web

from limpetroute.wire import call_failed
from limpetroute.wire import caller
from tests.whole_path import port_pool


class Cut(enum.StrEnum):
    """What becomes of connections to a runner."""

    OPEN = 'open'
    # New connections are refused; open ones are reset.
    RESET = 'reset'
    # New connections are refused; open ones live on.
    REFUSE = 'refuse'
    # New connections hang; open ones go silent.
    HANG = 'hang'


class Link:
    """One entry host's way to one runner."""

    def __init__(self, runner, host, port):
        self._runner = runner
        self._host = host
        self._port = port
        # Cuts of one host may overlap.
        self._lock = asyncio.Lock()
        self._server = None
        self._blocker = None
        self._filler = []
        self._writers = set()
        self._may_pass = asyncio.Event()

    @property
    def address(self):
        return f'{self._host}:{self._port}'

    async def open(self):
        async with self._lock:
            self._close_port()
            self._may_pass.set()
            self._server = await asyncio.start_server(
                self._serve, self._host, self._port
            )

    async def cut(self, state):
        async with self._lock:
            self._close_port()
            if state is Cut.RESET:
                for writer in list(self._writers):
                    writer.transport.abort()
            if state is Cut.HANG:
                self._may_pass.clear()
                self._block_port()

    def close(self):
        self._close_port()
        for writer in list(self._writers):
            writer.transport.abort()

    def _close_port(self):
        if self._server is not None:
            self._server.close()
            self._server = None
        for one in self._filler:
            one.close()
        self._filler = []
        if self._blocker is not None:
            self._blocker.close()
            self._blocker = None

    def _block_port(self):
        """Fill the queue of new connections, so that others hang."""
        self._blocker = socket.socket()
        self._blocker.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._blocker.bind((self._host, self._port))
        self._blocker.listen(0)
        for _ in range(4):
            one = socket.socket()
            one.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                one.connect((self._host, self._port))
            self._filler.append(one)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        other = None
        try:
            host, _, port = self._runner.address.rpartition(':')
            back, other = await asyncio.open_connection(host, int(port))
            await asyncio.gather(
                self._pass_on(reader, other), self._pass_on(back, writer)
            )
        except (OSError, asyncio.CancelledError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()
            if other is not None:
                other.close()

    async def _pass_on(self, reader, writer):
        while data := await reader.read(65536):
            await self._may_pass.wait()
            writer.write(data)
            await writer.drain()
        writer.close()


class Partition:
    """The control hosts as one entry host sees them.

    Parameters
    ----------
    world : World
        The processes.
    number : int
        Number of the entry host.
    port : int
        Port of the control hosts for other hosts.
    """

    def __init__(self, *, world, number, port):
        self._control_urls = [
            f'http://127.{world.base}.1.{n + 1}:{port}' for n in range(3)
        ]
        self.host = f'127.{world.base}.4.{number + 1}'
        self._port = port
        # Whether the host gets news from the control hosts.
        self.has_news = True
        self._http = caller.Caller(unzips=True)
        runner_port = port_pool.free_port()
        self.links = {
            one.name: Link(
                one, f'127.{world.base}.{5 + number}.{n + 1}', runner_port
            )
            for n, one in enumerate(world.runners)
        }

    async def start(self):
        for link in self.links.values():
            await link.open()
        app = web.Application(
            [('.*', _Handler, {'partition': self})],
            log_function=lambda handler: None,
        )
        self._server = httpserver.HTTPServer(app)
        self._server.listen(self._port, self.host)

    async def cut(self, state=Cut.REFUSE):
        for link in self.links.values():
            await link.cut(state)

    async def heal(self):
        for link in self.links.values():
            await link.open()

    def close(self):
        self._server.stop()
        for link in self.links.values():
            link.close()

    async def call(self, request):
        if not self.has_news:
            return 503, b''
        for url in self._control_urls:
            got = await self._http.call(
                method=request.method,
                url=f'{url}{request.uri}',
                body=request.body or None,
                timeout_s=2.0,
                connect_tries_s=(0.3,),
            )
            if not isinstance(got, call_failed.CallFailed):
                return got.status, self._rewrite(request.path, got.body)
        return 503, b''

    def _rewrite(self, path, body):
        if path != '/v1/watch':
            return body
        told = json.loads(body)
        for row in told['runners']:
            name = row['runner_id'].partition('.')[0]
            row['address'] = self.links[name].address
        told['urls'] = [f'http://{self.host}:{self._port}']
        return json.dumps(told).encode()


def partitions(world, numbers):
    """Return a partition for each entry host, which then starts behind it."""
    found = []
    for number in numbers:
        one = Partition(
            world=world, number=number, port=world.controls[0].listen_port
        )
        world.forwards[number].change(seeds=[f'{one.host}:1'])
        found.append(one)
    return found


class _Handler(web.RequestHandler):
    def initialize(self, partition):
        self._partition = partition

    async def _pass(self):
        status, body = await self._partition.call(self.request)
        self.set_status(status)
        self.finish(body)

    get = post = put = delete = _pass
