"""Serves a control host's metrics."""

import functools
import typing

from tornado import web

from limpetroute.agreement import replica as replica_module
from limpetroute.border import listen_settings
from limpetroute.control import node as node_module
from limpetroute.server import http_server
from limpetroute.server import port_limits
from limpetroute.telemetry import exports as exports_module
from limpetroute.telemetry import instruments
from limpetroute.telemetry import port_meters
from limpetroute.wire import buffer_budget

DESCRIPTORS_SHARE = 1 / 16
MAX_CONNECTIONS = 32
MAX_HEAD_BYTES = 16 << 10
MAX_BODY_BYTES = 16 << 10
MAX_BYTES = 2 << 20


class _MetricsHandler(web.RequestHandler):
    def initialize(self, text: typing.Callable[[], bytes | None]) -> None:
        self._text = text

    def get(self) -> None:
        self.set_header('Content-Type', 'text/plain; version=0.0.4')
        self.finish(self._text() or b'')


class MetricsComponent:
    """Serves a control host's metrics on a separate port.

    Parameters
    ----------
    node : Node
        The control host.
    listen : ListenSettings
        The port.
    """

    def __init__(
        self,
        *,
        node: node_module.Node,
        listen: listen_settings.ListenSettings,
    ) -> None:
        self._node = node
        self._listen = listen
        settings = node.settings
        self._exports = exports_module.Exports(
            host_id=settings.host_id, zone=settings.zone
        )
        for name, read in _gauges(node).items():
            self._exports.observe(f'control_{name}', read)
        histogram = instruments.loop_lag(self._exports.meter)
        node.loop_lag.record_to(histogram.record)
        node.port_observer.report_to(
            port_meters.PortMeters(meter=self._exports.meter)
        )
        args = {'text': self._exports.text}
        self._server = http_server.HttpServer(
            delegate=web.Application(
                [('/metrics', _MetricsHandler, args)],
                log_function=lambda handler: None,
            ),
            name='metrics',
            limits=port_limits.PortLimits(
                max_connections=port_limits.share_of_descriptors(
                    DESCRIPTORS_SHARE, MAX_CONNECTIONS
                ),
                max_head_bytes=MAX_HEAD_BYTES,
                max_body_bytes=MAX_BODY_BYTES,
            ),
            memory=buffer_budget.BufferBudget(
                max_body_bytes=MAX_BYTES, max_total_bytes=MAX_BYTES
            ),
            observer=node.port_observer,
        )

    def __repr__(self) -> str:
        return f'{type(self).__name__}(listen={self._listen!r})'

    def routes(self) -> list[web.URLSpec]:
        """Return no handlers, because metrics have their own port."""
        return []

    def start(self) -> None:
        """Open the port."""
        self._server.listen(self._listen.address, self._listen.port)

    def stop(self) -> None:
        """Close the port."""
        self._server.stop()


def _gauges(
    node: node_module.Node,
) -> dict[str, typing.Callable[[], float]]:
    def replica() -> replica_module.Replica:
        return node.config.replica

    return {
        'leads': lambda: float(replica().lease_valid(node.now_s)),
        'in_touch': lambda: float(replica().has_active_leader(node.now_s)),
        'term': lambda: float(replica().term),
        'commit_index': lambda: float(replica().commit_index),
        'voters': lambda: float(len(replica().membership.voters)),
        'runners': lambda: float(len(list(node.config.state.runners))),
        'routes_version': functools.partial(_routes_version, node),
        'syncs': lambda: float(node.syncs),
        'failed': lambda: float(bool(node.failure)),
    }


def _routes_version(node: node_module.Node) -> float:
    routes = node.config.state.routes
    return float(routes.version if routes else 0)
