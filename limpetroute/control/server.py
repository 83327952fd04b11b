"""The control process's port."""

import dataclasses
import logging

import tornado.httpserver
import tornado.netutil
import tornado.web

from limpetroute.border import control_settings
from limpetroute.border import errors
from limpetroute.border import manifest as manifest_module
from limpetroute.control import manifest_store
from limpetroute.wire import token_guard

LOG = logging.getLogger(__name__)


class ManifestHandler(tornado.web.RequestHandler):
    """``POST`` and ``GET /v1/manifest``."""

    def initialize(self, store: manifest_store.ManifestStore) -> None:
        """Take the store."""
        self._store = store

    def post(self) -> None:
        """Decide on a manifest."""
        try:
            body = errors.parse(
                manifest_module.ManifestBody, self.request.body
            )
        except errors.InvalidInputError as exc:
            self.set_status(400)
            self.finish({'outcome': 'invalid', 'errors': list(exc.lines)})
            return
        verdict = self._store.submit(body)
        if not isinstance(verdict, manifest_store.Accepted):
            self.set_status(409)
        name = type(verdict).__name__.lower()
        self.finish({'outcome': name, **dataclasses.asdict(verdict)})

    def get(self) -> None:
        """Show the newest manifest."""
        newest = self._store.newest
        self.finish({'manifest': newest.model_dump() if newest else None})


class ControlServer:
    """One control process.

    Parameters
    ----------
    settings : ControlSettings
        Checked settings.
    """

    def __init__(self, *, settings: control_settings.ControlSettings) -> None:
        self.settings = settings
        self.store = manifest_store.ManifestStore()
        self.port = 0
        self._server: tornado.httpserver.HTTPServer | None = None

    def __repr__(self) -> str:
        return f'{type(self).__name__}(port={self.port!r})'

    def start(self) -> None:
        """Listen."""
        routes = [
            tornado.web.url(
                '/v1/manifest', ManifestHandler, {'store': self.store}
            )
        ]
        self._server = tornado.httpserver.HTTPServer(
            token_guard.GuardedApplication(
                routes, tokens=self.settings.credentials().tokens
            ),
            ssl_options=self.settings.listen.tls_context(),
        )
        listen = self.settings.listen
        sockets = tornado.netutil.bind_sockets(listen.port, listen.address)
        self._server.add_sockets(sockets)
        self.port = int(sockets[0].getsockname()[1])
        LOG.info('control %s on port %d', self.settings.host_id, self.port)

    async def stop(self) -> None:
        """Close the port."""
        if self._server is not None:
            self._server.stop()
            await self._server.close_all_connections()
