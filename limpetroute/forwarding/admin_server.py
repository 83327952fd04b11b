"""The HTTP server for readiness checks and metrics."""

import typing

from tornado import web

from limpetroute.server import http_server
from limpetroute.server import port_limits
from limpetroute.server import port_observer
from limpetroute.wire import buffer_budget

# Probes need a few connections and no bodies.
DESCRIPTORS_SHARE = 1 / 16
MAX_CONNECTIONS = 32
MAX_HEAD_BYTES = 16 << 10
MAX_BODY_BYTES = 16 << 10
# Memory of each port.
MAX_BYTES = 2 << 20
METRICS_PATH = '/metrics'
PREVIEW_PATH = '/v1/preview'

# Returns the HTTP status and the response to a query.
Preview = typing.Callable[
    [typing.Mapping[str, str]],
    typing.Awaitable[tuple[int, dict[str, typing.Any]]],
]


class _ReadyHandler(web.RequestHandler):
    def initialize(self, is_ready: typing.Callable[[], bool]) -> None:
        self._is_ready = is_ready

    def get(self) -> None:
        if not self._is_ready():
            self.set_status(503)
        self.finish()


class _MetricsHandler(web.RequestHandler):
    def initialize(self, text: typing.Callable[[], bytes | None]) -> None:
        self._text = text

    def get(self) -> None:
        self.set_header('Content-Type', 'text/plain; version=0.0.4')
        self.finish(self._text() or b'')


class _PreviewHandler(web.RequestHandler):
    def initialize(self, preview: Preview) -> None:
        self._preview = preview

    async def get(self) -> None:
        query = {
            name: self.get_query_argument(name)
            for name in self.request.query_arguments
        }
        status, body = await self._preview(query)
        self.set_status(status)
        self.finish(body)


class AdminServer:
    """The HTTP server for readiness checks and metrics.

    Parameters
    ----------
    ready_path : str
        Path of the load balancer's readiness check.
    is_ready : callable
        Returns whether the load balancer should send callers here.
    metrics : callable
        Returns the metrics as text.
    preview : callable
        Returns what would be decided about a request.
    memory : BufferBudget or None
        Memory of connections and of what has arrived on them.
    observer : PortObserver or None
        Counts what is closed and refused to protect the host.
    """

    def __init__(
        self,
        *,
        ready_path: str,
        is_ready: typing.Callable[[], bool],
        metrics: typing.Callable[[], bytes | None],
        preview: Preview,
        memory: buffer_budget.BufferBudget | None = None,
        observer: port_observer.PortObserver | None = None,
    ) -> None:
        self._application = web.Application(
            [
                (ready_path, _ReadyHandler, {'is_ready': is_ready}),
                (METRICS_PATH, _MetricsHandler, {'text': metrics}),
                (PREVIEW_PATH, _PreviewHandler, {'preview': preview}),
            ],
            log_function=lambda handler: None,
        )
        self._memory = memory
        self._observer = observer
        self._servers: list[http_server.HttpServer] = []

    def __repr__(self) -> str:
        return f'{type(self).__name__}()'

    def listen(self, address: str, port: int, name: str = 'ready') -> int:
        """Open a port and return its number."""
        server = http_server.HttpServer(
            delegate=self._application,
            name=name,
            limits=port_limits.PortLimits(
                max_connections=port_limits.share_of_descriptors(
                    DESCRIPTORS_SHARE, MAX_CONNECTIONS
                ),
                max_head_bytes=MAX_HEAD_BYTES,
                max_body_bytes=MAX_BODY_BYTES,
            ),
            memory=buffer_budget.BufferBudget(
                max_body_bytes=MAX_BYTES,
                max_total_bytes=MAX_BYTES,
                parent=self._memory,
            ),
            observer=self._observer,
        )
        self._servers.append(server)
        return server.listen(address, port)

    def close(self) -> None:
        """Close the ports."""
        for server in self._servers:
            server.stop()
