"""Server of the stand-in engine, with its batch steps and heartbeats."""

import asyncio
import logging
import time
import typing

import tornado.httpserver
import tornado.netutil
import tornado.web

from limpetroute.border import standin_settings
from limpetroute.standins import announcer
from limpetroute.standins import engine_handlers
from limpetroute.standins import engine_state
from limpetroute.wire import caller
from limpetroute.wire import token_guard

LOG = logging.getLogger(__name__)

EXPIRE_S = 0.05


class EngineServer:
    """A stand-in engine.

    Parameters
    ----------
    settings : StandinSettings
        Validated settings.
    """

    def __init__(self, *, settings: standin_settings.StandinSettings) -> None:
        self.settings = settings
        self.state = engine_state.EngineState(settings=settings)
        self.port = 0
        self.announced_url: str | None = None
        self._credentials = settings.credentials()
        self._http = caller.Caller(
            tls=self._credentials.client_tls, token=self._credentials.token
        )
        self._announcer = announcer.Announcer(
            http=self._http,
            urls=settings.announce_urls,
            heartbeat_s=settings.heartbeat_s,
            make_body=self._announcement,
        )
        self._server: tornado.httpserver.HTTPServer | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._sequence = 0
        self._incarnation = time.time_ns()

    def __repr__(self) -> str:
        return f'{type(self).__name__}(port={self.port!r})'

    @property
    def url(self) -> str:
        """URL that is announced to the entry hosts."""
        if self.announced_url is not None:
            return self.announced_url
        scheme = 'https' if self.settings.listen.tls else 'http'
        return f'{scheme}://{self.settings.listen.address}:{self.port}'

    def start(self) -> None:
        """Start listening, running batch steps and sending heartbeats."""
        self._server = tornado.httpserver.HTTPServer(
            token_guard.GuardedApplication(
                self._routes(), tokens=self._credentials.tokens
            ),
            ssl_options=self.settings.listen.tls_context(),
            max_body_size=64 << 20,
        )
        listen = self.settings.listen
        sockets = tornado.netutil.bind_sockets(listen.port, listen.address)
        self._server.add_sockets(sockets)
        self.port = int(sockets[0].getsockname()[1])
        self._tasks = [
            asyncio.create_task(self.state.steps()),
            asyncio.create_task(self._expire()),
            asyncio.create_task(self._announcer.heartbeats()),
        ]
        LOG.info('engine %s on port %d', self.settings.runner_id, self.port)

    async def stop(self) -> None:
        """Close all sockets without notice, as if the process was killed."""
        for task in self._tasks:
            task.cancel()
        if self._server is not None:
            self._server.stop()
            await self._server.close_all_connections()

    async def leave(self) -> None:
        """Announce that this runner accepts no more work."""
        self.state.leaving = True
        await self.announce()

    async def announce(self) -> None:
        """Post the announcement to every entry host once."""
        await self._announcer.announce()

    def _announcement(self) -> dict[str, typing.Any]:
        settings = self.settings
        state = self.state
        self._sequence += 1
        events = []
        if state.stored or state.evicted:
            events.append(
                {
                    'sequence': self._sequence,
                    'stored': state.stored,
                    'evicted': state.evicted,
                }
            )
            state.stored = []
            state.evicted = []
        return {
            'runner_id': settings.runner_id,
            'incarnation': self._incarnation,
            'url': self.url,
            'role': settings.role,
            'zone': settings.zone,
            'models': settings.models,
            'service': settings.service,
            'slots': settings.slots,
            'kv_capacity_bytes': settings.kv_capacity_bytes,
            'kv_bytes_per_token': settings.kv_bytes_per_token,
            'leaving': state.leaving,
            'refuses_old_fence': settings.refuses_old_fence,
            'report': {
                'sequence': self._sequence,
                'age_s': 0.0,
                'running': len(state.active),
                'waiting': state.waiting,
                'waiting_tokens': state.waiting_tokens,
                'kv_used_bytes': state.kv_used_bytes,
                'step_s': settings.step_s * state.faults.slow_factor,
                'runs': [run.run_id for run in state.active],
            },
            'cache_events': events,
        }

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(EXPIRE_S)
            self.state.expire(asyncio.get_running_loop().time())

    def _routes(self) -> list[tornado.web.URLSpec]:
        state = {'state': self.state}
        url = tornado.web.url
        handlers = engine_handlers
        return [
            url('/v1/prefill', handlers.PrefillHandler, state),
            url(
                '/v1/kv/import',
                handlers.ImportHandler,
                {**state, 'http': self._http},
            ),
            url('/v1/kv/([^/]+)', handlers.ExportHandler, state),
            url('/v1/runs', handlers.RunsHandler, state),
            url('/v1/runs/([^/]+)', handlers.RunHandler, state),
            url('/v1/runs/([^/]+)/events', handlers.EventsHandler, state),
            url('/v1/orders', handlers.OrdersHandler, state),
            url('/v1/faults', handlers.FaultsHandler, state),
            url('/v1/counts', handlers.CountsHandler, state),
        ]
