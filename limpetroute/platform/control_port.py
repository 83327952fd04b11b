"""HTTP API of a control host for operators and runners."""

import asyncio
import hashlib
import logging
import typing

from tornado import web

from limpetroute.border import listen_settings
from limpetroute.control import command_submitter
from limpetroute.control import node as node_module
from limpetroute.platform import heartbeat_codec
from limpetroute.platform import routes_codec
from limpetroute.platform import routes_reader
from limpetroute.routing import config_fragments
from limpetroute.server import http_server
from limpetroute.server import port_limits
from limpetroute.wire import buffer_budget
from limpetroute.wire import caller

LOG = logging.getLogger(__name__)

HTTP_BAD_REQUEST = 400
HTTP_TOO_LARGE = 413
HTTP_UNAVAILABLE = 503
MAX_BODY_BYTES = 32 << 20
MAX_RUNNER_BODY_BYTES = 1 << 16
# Other ports of the process get the rest.
DESCRIPTORS_SHARE = 0.3
MAX_CONNECTIONS = 2048
IDLE_CONNECTION_S = 75.0
# A body is received in parts and then joined.
BODY_COPIES = 2


class _Handler(web.RequestHandler):
    def initialize(
        self,
        submitter: command_submitter.CommandSubmitter,
        decoding: asyncio.Lock,
    ) -> None:
        self.submitter = submitter
        self._decoding = decoding

    def reply_unconfirmed(self, result: command_submitter.Unconfirmed) -> None:
        self.set_status(HTTP_UNAVAILABLE)
        self.finish({'reason': result.reason})

    def reply_invalid(self, reason: str) -> None:
        self.set_status(HTTP_BAD_REQUEST)
        self.finish({'reason': reason})


class _RoutesHandler(_Handler):
    async def put(self) -> None:
        try:
            # Parsed configurations take many times their size, so they are
            # decoded one at a time.
            async with self._decoding:
                # Decoding thousands of routes on the event loop would delay
                # the leader's heartbeats by as much as an election timeout.
                plan = await asyncio.to_thread(
                    routes_codec.decode, self.request.body
                )
        except routes_codec.InvalidRoutesError as exc:
            LOG.info('routes refused', extra={'reason': str(exc)[:300]})
            self.reply_invalid(str(exc))
            return
        result = await self.submitter.submit_routes(
            version=plan.version,
            digest=hashlib.sha256(self.request.body).hexdigest(),
            text=self.request.body.decode(),
        )
        if isinstance(result, command_submitter.Unconfirmed):
            self.reply_unconfirmed(result)
            return
        self.finish({'version': result.version})

    async def get(self) -> None:
        result = await self.submitter.newest_routes()
        if isinstance(result, command_submitter.Unconfirmed):
            self.reply_unconfirmed(result)
            return
        self.set_header('Content-Type', 'application/json')
        self.finish(result.text)


class _RunnerHandler(_Handler):
    def prepare(self) -> None:
        if len(self.request.body) > MAX_RUNNER_BODY_BYTES:
            self.set_status(HTTP_TOO_LARGE)
            self.finish({'reason': 'the body is over the limit'})

    async def put(self, runner_id: str) -> None:
        try:
            announced = heartbeat_codec.decode(runner_id, self.request.body)
        except ValueError as exc:
            LOG.warning(
                'invalid heartbeat from runner',
                extra={'runner': runner_id, 'reason': str(exc)[:300]},
            )
            self.reply_invalid(str(exc))
            return
        result = await self.submitter.note_runner(
            announced.command, announced.service
        )
        if isinstance(result, command_submitter.UnknownService):
            self.reply_invalid(f'unknown service {result.service!r}')
            return
        if isinstance(result, command_submitter.Unconfirmed):
            self.reply_unconfirmed(result)
            return
        self.finish({})

    async def delete(self, runner_id: str) -> None:
        try:
            command = heartbeat_codec.decode_farewell(
                runner_id, self.request.body
            )
        except ValueError as exc:
            LOG.warning(
                'invalid farewell from runner',
                extra={'runner': runner_id, 'reason': str(exc)[:300]},
            )
            self.reply_invalid(str(exc))
            return
        result = await self.submitter.forget_runner(command)
        if isinstance(result, command_submitter.Unconfirmed):
            self.reply_unconfirmed(result)
            return
        self.finish({})


class ControlPort:
    """HTTP API of a control host for operators and runners.

    Parameters
    ----------
    node : Node
        The control host.
    listen : ListenSettings
        The address and port to listen on.
    """

    def __init__(
        self,
        *,
        node: node_module.Node,
        listen: listen_settings.ListenSettings,
    ) -> None:
        self._listen = listen
        credentials = node.settings.credentials()
        http = caller.Caller(
            tls=credentials.client_tls, token=credentials.token
        )
        submitter = command_submitter.CommandSubmitter(
            node=node, http=http, parse_services=_service_names
        )
        args = {'submitter': submitter, 'decoding': asyncio.Lock()}
        self._server = http_server.HttpServer(
            delegate=web.Application(
                [
                    ('/api/config', _RoutesHandler, args),
                    ('/api/instances/([^/]+)', _RunnerHandler, args),
                ],
                log_function=lambda handler: None,
            ),
            name='public',
            limits=port_limits.PortLimits(
                max_connections=port_limits.share_of_descriptors(
                    DESCRIPTORS_SHARE, MAX_CONNECTIONS
                ),
                max_body_bytes=MAX_BODY_BYTES,
                body_copies=BODY_COPIES,
                idle_timeout_s=IDLE_CONNECTION_S,
            ),
            memory=buffer_budget.BufferBudget(
                max_body_bytes=node.settings.max_public_bytes,
                max_total_bytes=node.settings.max_public_bytes,
            ),
            observer=node.port_observer,
        )

    def __repr__(self) -> str:
        return f'{type(self).__name__}(listen={self._listen!r})'

    def routes(self) -> list[web.URLSpec]:
        """Return no routes; this API listens on a separate port."""
        return []

    def start(self) -> None:
        """Start listening."""
        self._server.listen(self._listen.address, self._listen.port)

    def stop(self) -> None:
        """Stop listening."""
        self._server.stop()


def _service_names(
    parts: typing.Sequence[config_fragments.ConfigFragment],
) -> frozenset[str]:
    """Return the names of the services in a configuration."""
    return frozenset(
        service.name for service in routes_reader.read_services(parts)
    )
