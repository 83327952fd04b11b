"""The port at which operators and runners reach a control host."""

import asyncio
import hashlib
import logging
import typing

from tornado import httpserver
from tornado import netutil
from tornado import web

from limpetroute.border import listen_settings
from limpetroute.control import command_submitter
from limpetroute.control import node as node_module
from limpetroute.platform import heartbeat_codec
from limpetroute.platform import routes_codec
from limpetroute.platform import routes_reader
from limpetroute.routing import config_fragments
from limpetroute.wire import caller

LOG = logging.getLogger(__name__)

HTTP_BAD_REQUEST = 400
HTTP_UNAVAILABLE = 503
MAX_BODY_BYTES = 32 << 20


class _Handler(web.RequestHandler):
    def initialize(self, desk: command_submitter.CommandSubmitter) -> None:
        self.desk = desk

    def unsure(self, got: command_submitter.Unconfirmed) -> None:
        self.set_status(HTTP_UNAVAILABLE)
        self.finish({'reason': got.reason})

    def invalid(self, reason: str) -> None:
        self.set_status(HTTP_BAD_REQUEST)
        self.finish({'reason': reason})


class _RoutesHandler(_Handler):
    async def put(self) -> None:
        try:
            # In a thread: decoding thousands of routes on the loop holds
            # up heartbeats for as long as a leader may be silent.
            plan = await asyncio.to_thread(
                routes_codec.decode, self.request.body
            )
        except routes_codec.InvalidRoutesError as exc:
            LOG.info('routes refused', extra={'reason': str(exc)[:300]})
            self.invalid(str(exc))
            return
        got = await self.desk.submit_routes(
            version=plan.version,
            digest=hashlib.sha256(self.request.body).hexdigest(),
            text=self.request.body.decode(),
        )
        if isinstance(got, command_submitter.Unconfirmed):
            self.unsure(got)
            return
        self.finish({'version': got.version})

    async def get(self) -> None:
        got = await self.desk.newest_routes()
        if isinstance(got, command_submitter.Unconfirmed):
            self.unsure(got)
            return
        self.set_header('Content-Type', 'application/json')
        self.finish(got.text)


class _RunnerHandler(_Handler):
    async def put(self, runner_id: str) -> None:
        try:
            announced = heartbeat_codec.decode(runner_id, self.request.body)
        except ValueError as exc:
            LOG.warning(
                'an announcement cannot be read',
                extra={'runner': runner_id, 'reason': str(exc)[:300]},
            )
            self.invalid(str(exc))
            return
        got = await self.desk.note_runner(announced.command, announced.service)
        if isinstance(got, command_submitter.UnknownService):
            self.invalid(f'unknown service {got.service!r}')
            return
        if isinstance(got, command_submitter.Unconfirmed):
            self.unsure(got)
            return
        self.finish({})

    async def delete(self, runner_id: str) -> None:
        try:
            command = heartbeat_codec.decode_farewell(
                runner_id, self.request.body
            )
        except ValueError as exc:
            LOG.warning(
                'a farewell cannot be read',
                extra={'runner': runner_id, 'reason': str(exc)[:300]},
            )
            self.invalid(str(exc))
            return
        got = await self.desk.forget_runner(command)
        if isinstance(got, command_submitter.Unconfirmed):
            self.unsure(got)
            return
        self.finish({})


class ControlPort:
    """The port at which operators and runners reach a control host.

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
        self._listen = listen
        trust = node.settings.credentials()
        http = caller.Caller(tls=trust.client_tls, token=trust.token)
        desk = command_submitter.CommandSubmitter(
            node=node, http=http, parse_services=_services
        )
        args = {'desk': desk}
        self._server = httpserver.HTTPServer(
            web.Application(
                [
                    ('/api/config', _RoutesHandler, args),
                    ('/api/instances/([^/]+)', _RunnerHandler, args),
                ],
                log_function=lambda handler: None,
            ),
            max_body_size=MAX_BODY_BYTES,
        )

    def __repr__(self) -> str:
        return f'{type(self).__name__}(listen={self._listen!r})'

    def routes(self) -> list[web.URLSpec]:
        """Return nothing: it has a port of its own."""
        return []

    def start(self) -> None:
        """Open the port."""
        self._server.add_sockets(
            netutil.bind_sockets(self._listen.port, self._listen.address)
        )

    def stop(self) -> None:
        """Close the port."""
        self._server.stop()


def _services(
    parts: typing.Sequence[config_fragments.ConfigFragment],
) -> frozenset[str]:
    """Return the services that a configuration names."""
    return frozenset(one.name for one in routes_reader.read_services(parts))
