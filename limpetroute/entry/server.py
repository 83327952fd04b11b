"""HTTP servers for the two ports of the entry process."""

import logging
import socket
import typing

import tornado.httpserver
import tornado.netutil
import tornado.web

from limpetroute.border import entry_settings
from limpetroute.border import listen_settings
from limpetroute.entry.callers import base_handler
from limpetroute.entry.callers import completions_handler
from limpetroute.entry.callers import connections
from limpetroute.entry.callers import events_handler
from limpetroute.entry.callers import health_handler
from limpetroute.entry.callers import metrics_handler
from limpetroute.entry.callers import models_handler
from limpetroute.entry.callers import request_handler
from limpetroute.entry.callers import runners_handler
from limpetroute.entry.callers import service_handler
from limpetroute.entry.hosting import host as host_module
from limpetroute.entry.operators import operator_routes
from limpetroute.entry.peering import peer_routes
from limpetroute.wire import token_guard

LOG = logging.getLogger(__name__)

# Above these limits tornado closes the connection without an answer.
# The handlers' own limits are lower and are answered with an error body.
MAX_HEADER_BYTES = 256 << 10
MAX_BODY_BYTES = 1 << 40
IDLE_CONNECTION_S = 75.0


class EntryServer:
    """Serves callers on one port, runners and operators on another.

    Parameters
    ----------
    settings : EntrySettings
        Checked settings.
    """

    def __init__(self, *, settings: entry_settings.EntrySettings) -> None:
        self.host = host_module.Host(settings=settings)
        self._settings = settings
        self._servers: list[tornado.httpserver.HTTPServer] = []
        self.port = 0
        self.internal_port = 0

    def __repr__(self) -> str:
        return f'{type(self).__name__}(port={self.port!r})'

    def start(self) -> None:
        """Listen on both ports."""
        self.port = self._listen(
            self._caller_routes(),
            self._settings.listen,
            max_body_size=MAX_BODY_BYTES,
            body_timeout=None,
        )
        self.internal_port = self._listen(
            self._internal_routes(),
            self._settings.internal_listen,
            self._settings.credentials().tokens,
            max_body_size=self._settings.max_body_bytes,
            body_timeout=self._settings.body_timeout_s,
        )
        self.host.start()
        if self._settings.peers.enabled:
            self.host.join_peers(self._internal_url())
        LOG.info('entry %s on port %d', self._settings.host_id, self.port)

    def _internal_url(self) -> str:
        listen = self._settings.internal_listen
        scheme = 'https' if listen.tls_context() else 'http'
        return f'{scheme}://{listen.address}:{self.internal_port}'

    async def stop(self) -> None:
        """Finish the work in progress, then close both ports.

        The ports stay open during the drain: new requests are refused
        with an error, callers may resume requests that this host holds,
        and the runners' heartbeats keep the runs in progress alive.
        """
        await self.host.drain()
        for server in self._servers:
            server.stop()
        await self.host.wait_for_callers()
        for server in self._servers:
            await server.close_all_connections()
        await self.host.stop()

    def _listen(
        self,
        routes: list[tornado.web.URLSpec],
        listen: listen_settings.ListenSettings,
        tokens: typing.Sequence[str] = (),
        *,
        max_body_size: int,
        body_timeout: float | None,
    ) -> int:
        server = tornado.httpserver.HTTPServer(
            token_guard.GuardedApplication(
                routes,
                tokens=tokens,
                default_handler_class=base_handler.NotFoundHandler,
                default_handler_args={'host': self.host},
            ),
            ssl_options=listen.tls_context(),
            max_header_size=MAX_HEADER_BYTES,
            max_body_size=max_body_size,
            body_timeout=body_timeout,
            idle_connection_timeout=IDLE_CONNECTION_S,
        )
        sockets = tornado.netutil.bind_sockets(listen.port, listen.address)
        for item in sockets:
            self._limit_connections(item)
        server.add_sockets(sockets)
        self._servers.append(server)
        return int(sockets[0].getsockname()[1])

    def _limit_connections(self, item: socket.socket) -> None:
        connections.limit_connections(
            item,
            send_buffer_bytes=self._settings.max_buffer_bytes,
            stall_s=self._settings.write_stall_s,
        )

    def _caller_routes(self) -> list[tornado.web.URLSpec]:
        host = {'host': self.host}
        url = tornado.web.url
        completions = completions_handler.CompletionsHandler
        return [
            url('/v1/completions', completions, {**host, 'chat': False}),
            url('/v1/chat/completions', completions, {**host, 'chat': True}),
            url('/v1/models', models_handler.ModelsHandler, host),
            url(
                '/v1/requests/([^/]+)/events',
                events_handler.EventsHandler,
                host,
            ),
            url('/v1/requests/([^/]+)', request_handler.RequestHandler, host),
            url(
                '/v1/services/([^/]+)/(.*)',
                service_handler.ServiceHandler,
                host,
            ),
            *self._health_routes(),
        ]

    def _internal_routes(self) -> list[tornado.web.URLSpec]:
        host = {'host': self.host}
        url = tornado.web.url
        return [
            url('/v1/runners', runners_handler.RunnersHandler, host),
            *peer_routes.routes(self.host),
            url('/metrics', metrics_handler.MetricsHandler, host),
            *operator_routes.routes(self.host),
            *self._health_routes(),
        ]

    def _health_routes(self) -> list[tornado.web.URLSpec]:
        host = {'host': self.host}
        url = tornado.web.url
        handler = health_handler.HealthHandler
        return [
            url('/healthz', handler, {**host, 'readiness': False}),
            url('/readyz', handler, {**host, 'readiness': True}),
        ]
