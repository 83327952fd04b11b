"""HTTP servers for the two ports of the entry process."""

import logging
import math
import socket
import typing

import tornado.web

from limpetroute.border import entry_settings
from limpetroute.border import listen_settings
from limpetroute.entry.callers import base_handler
from limpetroute.entry.callers import body_handler
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
from limpetroute.server import http_server
from limpetroute.server import port_limits
from limpetroute.telemetry import port_meters
from limpetroute.wire import buffer_budget
from limpetroute.wire import token_guard

LOG = logging.getLogger(__name__)

# Above these limits tornado closes the connection without an answer.
# The handlers' own limits are lower and are answered with an error body.
MAX_HEADER_BYTES = 256 << 10
IDLE_CONNECTION_S = 75.0
# A connection of a caller may need one to a runner.
CALLERS_SHARE = 0.4
INTERNAL_SHARE = 0.2
MAX_CONNECTIONS = 1024


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
        self._servers: list[http_server.HttpServer] = []
        self._observer = port_meters.PortMeters(meter=self.host.exports.meter)
        self._memory = buffer_budget.BufferBudget(
            max_body_bytes=settings.max_received_bytes,
            max_total_bytes=settings.max_received_bytes,
        )
        self.port = 0
        self.internal_port = 0

    def __repr__(self) -> str:
        return f'{type(self).__name__}(port={self.port!r})'

    def start(self) -> None:
        """Listen on both ports."""
        self.port = self._listen(
            'callers',
            self._caller_routes(),
            self._settings.listen,
            # The handlers answer with their own error up to this size.
            max_body_bytes=body_handler.DISCARD_FACTOR
            * self._settings.max_body_bytes,
            share=CALLERS_SHARE,
        )
        self.internal_port = self._listen(
            'internal',
            self._internal_routes(),
            self._settings.internal_listen,
            self._settings.credentials().tokens,
            max_body_bytes=self._settings.max_body_bytes,
            share=INTERNAL_SHARE,
            progress_timeout_s=self._settings.body_timeout_s,
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
        name: str,
        routes: list[tornado.web.URLSpec],
        listen: listen_settings.ListenSettings,
        tokens: typing.Sequence[str] = (),
        *,
        max_body_bytes: int,
        share: float,
        progress_timeout_s: float = math.inf,
    ) -> int:
        server = http_server.HttpServer(
            delegate=token_guard.GuardedApplication(
                routes,
                tokens=tokens,
                default_handler_class=base_handler.NotFoundHandler,
                default_handler_args={'host': self.host},
            ),
            name=name,
            limits=port_limits.PortLimits(
                max_connections=port_limits.share_of_descriptors(
                    share, MAX_CONNECTIONS
                ),
                max_head_bytes=MAX_HEADER_BYTES,
                max_body_bytes=max_body_bytes,
                idle_timeout_s=IDLE_CONNECTION_S,
                progress_timeout_s=progress_timeout_s,
                stall_timeout_s=self._settings.write_stall_s,
            ),
            memory=self._memory,
            observer=self._observer,
        )
        tls = listen.tls_context()
        sockets = http_server.bind_sockets(listen.address, listen.port)
        for item in sockets:
            self._limit_connections(item)
        server.accept(sockets, tls)
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
