"""The HTTP server of a control process."""

import logging
import typing

import tornado.web

from limpetroute.border import control_settings
from limpetroute.control import claim_handlers
from limpetroute.control import command_handler
from limpetroute.control import data_folder
from limpetroute.control import entry_handlers
from limpetroute.control import files as files_module
from limpetroute.control import manifest_handler
from limpetroute.control import node as node_module
from limpetroute.control import peer_handlers
from limpetroute.control import quarantine_handlers
from limpetroute.control import routes_handlers
from limpetroute.control import seeds
from limpetroute.control import server_component
from limpetroute.control import watch_handler
from limpetroute.server import http_server
from limpetroute.server import port_limits
from limpetroute.server import port_observer
from limpetroute.wire import buffer_budget
from limpetroute.wire import token_guard

LOG = logging.getLogger(__name__)

# Other ports of the process get the rest.
DESCRIPTORS_SHARE = 0.3
MAX_CONNECTIONS = 2048
IDLE_CONNECTION_S = 75.0
# A body is received in parts and then joined.
BODY_COPIES = 2
# Memory of connections, heads and answers beside that of one body.
OTHER_BYTES = 16 << 20


class ControlServer:
    """The server of a control process, with its node and components.

    Parameters
    ----------
    settings : ControlSettings
        Validated settings.
    max_batch : int or None
        Maximum number of writes in one sync; None for no limit.
    files : Files or None
        The file system; None for the host's file system.
    make_components : sequence of MakeComponent
        Create the components that run in this process beside the node.

    Raises
    ------
    FolderError
        If the data folder cannot be used.
    """

    def __init__(
        self,
        *,
        settings: control_settings.ControlSettings,
        max_batch: int | None = None,
        files: files_module.Files | None = None,
        make_components: typing.Sequence[server_component.MakeComponent] = (),
    ) -> None:
        self._make_components = make_components
        self._components: list[server_component.ServerComponent] = []
        self.settings = settings
        self.port = 0
        self.node: node_module.Node | None = None
        self._max_batch = max_batch
        self._files = files
        self._folder = self._open_folder()
        self._server: http_server.HttpServer | None = None

    def __repr__(self) -> str:
        return f'{type(self).__name__}(port={self.port!r})'

    def _open_folder(self) -> data_folder.DataFolder:
        settings = self.settings
        return data_folder.DataFolder(
            folder=settings.data_dir,
            host_id=settings.host_id,
            files=self._files,
            rewrite_bytes=settings.rewrite_bytes,
            bootstrap_replicas=_bootstrap_replicas(settings),
        )

    def _reopen_folder(self) -> data_folder.DataFolder:
        assert self.node is not None
        self.node.folder.close()
        return self._open_folder()

    @property
    def url(self) -> str:
        """Address of this process."""
        if self.settings.advertise_url:
            return self.settings.advertise_url
        listen = self.settings.listen
        scheme = 'https' if listen.tls else 'http'
        address = listen.address
        if ':' in address:
            address = f'[{address}]'
        return f'{scheme}://{address}:{self.port}'

    def start(self) -> None:
        """Open the port and start the node and its components."""
        listen = self.settings.listen
        sockets = http_server.bind_sockets(listen.address, listen.port)
        self.port = int(sockets[0].getsockname()[1])
        node = node_module.Node(
            settings=self.settings,
            url=self.url,
            folder=self._folder,
            reopen=self._reopen_folder if self.settings.seeds else None,
            max_batch=self._max_batch,
        )
        self.node = node
        self._components = [make(node=node) for make in self._make_components]
        routes = _routes(node)
        for component in self._components:
            routes.extend(component.routes())
        self._server = self._make_server(routes, node.port_observer)
        tls = listen.tls_context()
        node.start()
        self._server.accept(sockets, tls)
        for component in self._components:
            component.start()
        LOG.info('control %s on port %d', self.settings.host_id, self.port)

    def _make_server(
        self,
        routes: list[tornado.web.URLSpec],
        observer: port_observer.PortObserver,
    ) -> http_server.HttpServer:
        settings = self.settings
        max_bytes = BODY_COPIES * settings.max_body_bytes + OTHER_BYTES
        return http_server.HttpServer(
            delegate=token_guard.GuardedApplication(
                routes, tokens=settings.credentials().tokens
            ),
            name='internal',
            limits=port_limits.PortLimits(
                max_connections=port_limits.share_of_descriptors(
                    DESCRIPTORS_SHARE, MAX_CONNECTIONS
                ),
                max_body_bytes=settings.max_body_bytes,
                body_copies=BODY_COPIES,
                idle_timeout_s=IDLE_CONNECTION_S,
            ),
            memory=buffer_budget.BufferBudget(
                max_body_bytes=max_bytes, max_total_bytes=max_bytes
            ),
            observer=observer,
        )

    async def stop(self) -> None:
        """Close the port and stop the node and its components."""
        for component in self._components:
            component.stop()
        if self._server is not None:
            self._server.stop()
            await self._server.close_all_connections()
        if self.node is not None:
            await self.node.stop()


def _bootstrap_replicas(
    settings: control_settings.ControlSettings,
) -> dict[str, str] | None:
    if not settings.seeds or not settings.may_found:
        return None
    return seeds.bootstrap_replicas(settings.seeds)


def _routes(node: node_module.Node) -> list[tornado.web.URLSpec]:
    url = tornado.web.url
    args = {'node': node}
    claims = [
        url('/v1/claims', claim_handlers.ClaimHandler, args),
        url('/v1/claims/withdraw', claim_handlers.WithdrawHandler, args),
        url('/v1/claims/settle', claim_handlers.SettleHandler, args),
    ]
    if not node.settings.claim_groups:
        claims = []
    return [
        *claims,
        url('/v1/manifest', manifest_handler.ManifestHandler, args),
        url('/v1/fences', claim_handlers.FenceHandler, args),
        url('/v1/peer', peer_handlers.PeerHandler, args),
        url('/v1/watch', watch_handler.WatchHandler, args),
        url('/v1/entry-hosts', entry_handlers.EntryHostsHandler, args),
        url('/v1/crashes', quarantine_handlers.CrashesHandler, args),
        url('/v1/quarantine/clear', quarantine_handlers.ClearHandler, args),
        url('/v1/quarantine/trial', quarantine_handlers.TrialHandler, args),
        url('/v1/routes', routes_handlers.RoutesSliceHandler, args),
        url('/v1/routes/newest', routes_handlers.NewestRoutesHandler, args),
        url('/v1/commands', command_handler.CommandHandler, args),
        url('/v1/status', peer_handlers.StatusHandler, args),
        url('/v1/members/replace', peer_handlers.ReplaceHandler, args),
    ]
