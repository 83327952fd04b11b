"""Server of the stand-in plain service, which counts its calls."""

import asyncio
import collections
import logging
import time
import typing

import tornado.httpserver
import tornado.netutil
import tornado.web

from limpetroute.border import standin_settings
from limpetroute.standins import announcer
from limpetroute.standins import service_faults
from limpetroute.wire import caller
from limpetroute.wire import token_guard

LOG = logging.getLogger(__name__)

REFUSED_HEADER = 'Limpetroute-Refused'


class ServiceState:
    """State of the service, with its runs by call and idempotency key."""

    def __init__(self) -> None:
        self.faults = service_faults.ServiceFaults()
        self.runs: collections.Counter[str] = collections.Counter()
        self.leaving = False
        self.in_progress = 0

    def __repr__(self) -> str:
        return f'{type(self).__name__}(runs={sum(self.runs.values())!r})'


class CallHandler(tornado.web.RequestHandler):
    """Runs any call and counts it."""

    def initialize(self, state: ServiceState) -> None:
        """Set the service state."""
        self._state = state

    async def get(self, path: str) -> None:
        """Run a ``GET`` call."""
        await self._run(path)

    async def post(self, path: str) -> None:
        """Run a ``POST`` call."""
        await self._run(path)

    async def put(self, path: str) -> None:
        """Run a ``PUT`` call."""
        await self._run(path)

    async def patch(self, path: str) -> None:
        """Run a ``PATCH`` call."""
        await self._run(path)

    async def delete(self, path: str) -> None:
        """Run a ``DELETE`` call."""
        await self._run(path)

    async def _run(self, path: str) -> None:
        state = self._state
        faults = state.faults
        if faults.refuse or state.leaving:
            self.set_header(REFUSED_HEADER, 'leaving')
            self.set_status(503)
            await self.finish({'reason': 'leaving'})
            return
        if faults.status is not None:
            self.set_status(faults.status)
            await self.finish({'reason': 'fault'})
            return
        key = self.request.headers.get('Idempotency-Key', '')
        name = f'{self.request.method} /{path} {key}'
        state.runs[name] += 1
        state.in_progress += 1
        try:
            await asyncio.sleep(faults.delay_s)
        finally:
            state.in_progress -= 1
        if state.faults.drop_reply > 0:
            remaining = state.faults.drop_reply - 1
            state.faults = state.faults.model_copy(
                update={'drop_reply': remaining}
            )
            self.request.connection.close()  # type: ignore[union-attr]
            return
        await self.finish(
            {
                'path': f'/{path}',
                'query': self.request.query,
                'run': state.runs[name],
                'body': self.request.body.decode(errors='replace'),
            }
        )


class FaultsHandler(tornado.web.RequestHandler):
    """``POST /standin/faults`` and ``GET /standin/counts``."""

    def initialize(self, state: ServiceState) -> None:
        """Set the service state."""
        self._state = state

    def post(self) -> None:
        """Replace the active faults."""
        self._state.faults = service_faults.ServiceFaults.model_validate_json(
            self.request.body
        )
        self.set_status(204)

    def get(self) -> None:
        """Return how often each call ran."""
        self.finish({'runs': dict(self._state.runs)})


class ServiceServer:
    """A stand-in plain service.

    Parameters
    ----------
    settings : StandinSettings
        Validated settings.
    """

    def __init__(self, *, settings: standin_settings.StandinSettings) -> None:
        self.settings = settings
        self.state = ServiceState()
        self.port = 0
        self._credentials = settings.credentials()
        self._announcer = announcer.Announcer(
            http=caller.Caller(
                tls=self._credentials.client_tls, token=self._credentials.token
            ),
            urls=settings.announce_urls,
            heartbeat_s=settings.heartbeat_s,
            make_body=self._announcement,
        )
        self._server: tornado.httpserver.HTTPServer | None = None
        self._task: asyncio.Task[None] | None = None
        self._sequence = 0
        self._incarnation = time.time_ns()

    def __repr__(self) -> str:
        return f'{type(self).__name__}(port={self.port!r})'

    def start(self) -> None:
        """Start listening and sending heartbeats."""
        state = {'state': self.state}
        url = tornado.web.url
        self._server = tornado.httpserver.HTTPServer(
            token_guard.GuardedApplication(
                [
                    url('/standin/(?:faults|counts)', FaultsHandler, state),
                    url('/(.*)', CallHandler, state),
                ],
                tokens=self._credentials.tokens,
            ),
            ssl_options=self.settings.listen.tls_context(),
        )
        listen = self.settings.listen
        sockets = tornado.netutil.bind_sockets(listen.port, listen.address)
        self._server.add_sockets(sockets)
        self.port = int(sockets[0].getsockname()[1])
        self._task = asyncio.create_task(self._announcer.heartbeats())
        LOG.info('service %s on port %d', self.settings.runner_id, self.port)

    async def stop(self) -> None:
        """Close all sockets without notice, as if the process was killed."""
        if self._task is not None:
            self._task.cancel()
        if self._server is not None:
            self._server.stop()
            await self._server.close_all_connections()

    async def leave(self) -> None:
        """Announce that this runner accepts no more work."""
        self.state.leaving = True
        await self._announcer.announce()

    def _announcement(self) -> dict[str, typing.Any]:
        settings = self.settings
        scheme = 'https' if settings.listen.tls else 'http'
        self._sequence += 1
        return {
            'runner_id': settings.runner_id,
            'incarnation': self._incarnation,
            'url': f'{scheme}://{settings.listen.address}:{self.port}',
            'role': 'service',
            'zone': settings.zone,
            'service': settings.service,
            'slots': settings.slots,
            'kv_capacity_bytes': 0,
            'kv_bytes_per_token': 0,
            'leaving': self.state.leaving,
            'report': {
                'sequence': self._sequence,
                'age_s': 0.0,
                'running': self.state.in_progress,
                'waiting': 0,
                'waiting_tokens': 0,
                'kv_used_bytes': 0,
                'step_s': 0.0,
            },
        }
