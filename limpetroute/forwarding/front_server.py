"""The HTTP server for callers and for other entry hosts."""

import asyncio
import dataclasses
import logging
import ssl
import typing

from tornado import http1connection
from tornado import httputil

from limpetroute.border import stream_version_header
from limpetroute.forwarding import acceptor as acceptor_module
from limpetroute.forwarding import caller_request
from limpetroute.forwarding import dialect as dialect_module
from limpetroute.forwarding import forwarder as forwarder_module
from limpetroute.forwarding import peer_protocol
from limpetroute.forwarding import responder as responder_module
from limpetroute.routing import caller_limits
from limpetroute.server import http_server
from limpetroute.server import port_limits
from limpetroute.server import port_observer
from limpetroute.server import refusal as refusal_module
from limpetroute.wire import body_buffer
from limpetroute.wire import buffer_budget
from limpetroute.wire import token_guard

LOG = logging.getLogger(__name__)

# Allowance for the request line, which the header limit excludes.
REQUEST_LINE_BYTES = 8192
# Headers of at least this size are read, and then checked against the limit.
# Tornado closes the connection without an answer to what it does not read,
# by the limit that held when it began to wait for the request.
MIN_READ_HEADER_BYTES = 1 << 16
# Other entry hosts pass on single requests.
PEERS_SHARE = 1 / 8
MAX_PEER_CONNECTIONS = 512


class FrontServer(httputil.HTTPServerConnectionDelegate):
    """The HTTP server for callers and for other entry hosts.

    Parameters
    ----------
    forwarder : Forwarder
        Answers the requests.
    dialect : Dialect
        Decodes the requests.
    guard : TokenGuard or None
        Admits other entry hosts; None for a server for callers.
    on_closed : callable
        Called with the number of connections of callers that were closed
        unread.
    observer : PortObserver or None
        Counts what is closed and refused to protect the host.
    """

    def __init__(
        self,
        *,
        forwarder: forwarder_module.Forwarder,
        dialect: dialect_module.Dialect,
        guard: token_guard.TokenGuard | None = None,
        on_closed: typing.Callable[[int], None] = lambda count: None,
        observer: port_observer.PortObserver | None = None,
    ) -> None:
        self.guard = guard
        self._on_closed = on_closed
        self._observer = observer
        self.forwarder = forwarder
        self.dialect = dialect
        self.closing = False
        self.limits = caller_limits.CallerLimits()
        self._server: http_server.HttpServer | None = None
        self._acceptors: list[acceptor_module.Acceptor] = []
        self.port = 0
        self._is_listening = False

    def __repr__(self) -> str:
        return f'{type(self).__name__}(port={self.port!r})'

    def listen(
        self, address: str, port: int, tls: ssl.SSLContext | None = None
    ) -> None:
        """Open the port."""
        sockets = http_server.bind_sockets(address, port)
        self.port = int(sockets[0].getsockname()[1])
        self._server = server = http_server.HttpServer(
            delegate=self,
            name='callers' if self.guard is None else 'peers',
            limits=port_limits.PortLimits(
                max_connections=self._max_connections(),
                body_copies=0,
                counts_unsent=False,
            ),
            memory=self.forwarder.received_bytes,
            observer=self._observer,
        )
        self.forwarder.request_buffers.reclaimers.append(
            server.table.free_memory
        )
        self.apply_limits(self.limits)
        self._is_listening = True
        if self.guard is not None:
            # The forwarder bounds the requests of other entry hosts.
            server.accept(sockets, tls)
            return
        for sock in sockets:
            acceptor = acceptor_module.Acceptor(
                sock=sock,
                serve=server.serve,
                open_connections=server.table.__len__,
                free_connections=server.free_connections,
                on_closed=self._on_closed,
            )
            acceptor.start()
            self._acceptors.append(acceptor)

    def _max_connections(self) -> int:
        if self.guard is None:
            return acceptor_module.max_connections()
        return port_limits.share_of_descriptors(
            PEERS_SHARE, MAX_PEER_CONNECTIONS
        )

    def apply_limits(self, limits: caller_limits.CallerLimits) -> None:
        """Apply limits to all connections.

        Callers reuse connections that were idle for most of the idle timeout,
        so the longer of the timeouts for idle connections and for headers is
        used for both.
        """
        self.limits = limits
        if self._server is None:
            return
        self._server.limits = dataclasses.replace(
            self._server.limits,
            max_body_bytes=limits.max_body_bytes,
            idle_timeout_s=max(limits.idle_timeout_s, limits.header_timeout_s),
        )
        self._server.params.max_header_size = max(
            limits.max_header_bytes + REQUEST_LINE_BYTES, MIN_READ_HEADER_BYTES
        )

    def stop_listening(self) -> None:
        """Stop accepting connections."""
        if self._server is not None and self._is_listening:
            self._is_listening = False
            self._server.stop()
            for acceptor in self._acceptors:
                acceptor.stop()

    async def close(self) -> None:
        """Close all connections."""
        if self._server is not None:
            await self._server.close_all_connections()

    def start_request(
        self,
        server_conn: object,
        request_conn: httputil.HTTPConnection,
    ) -> httputil.HTTPMessageDelegate:
        """Return the delegate for the next request of a connection."""
        assert isinstance(request_conn, http1connection.HTTP1Connection)
        return _Exchange(server=self, connection=request_conn)

    def on_close(self, server_conn: object) -> None:
        """Do nothing; `_Exchange` handles a closed connection."""


class _Exchange(httputil.HTTPMessageDelegate):
    """Reads one request and starts to answer it."""

    def __init__(
        self,
        *,
        server: FrontServer,
        connection: http1connection.HTTP1Connection,
    ) -> None:
        self._server = server
        self._connection = connection
        self._start: httputil.RequestStartLine | None = None
        self._headers = httputil.HTTPHeaders()
        self._body = body_buffer.BodyBuffer(
            lease=buffer_budget.BufferLease(
                budget=server.forwarder.request_buffers
            )
        )
        self._is_refused = False
        self._is_read = asyncio.Event()
        self._received_s = 0.0
        self._task: asyncio.Task[None] | None = None

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> typing.Awaitable[None] | None:
        """Store the start line and headers of a request."""
        assert isinstance(start_line, httputil.RequestStartLine)
        self._start = start_line
        self._headers = headers
        self._received_s = asyncio.get_running_loop().time()
        return None

    def has_room(self, count: int) -> bool:
        """Return whether there is memory for so many bytes of a body."""
        return self._body.may_fit(count)

    def data_received(self, chunk: bytes) -> typing.Awaitable[None] | None:
        """Store a chunk of the body."""
        self._body.append(chunk)
        return None

    def finish(self) -> None:
        """Start the task that answers the request."""
        self._is_read.set()
        self._connection.set_close_callback(self.on_connection_close)
        if self._is_refused:
            return
        responder = responder_module.Responder(
            connection=self._connection,
            closing=lambda: self._server.closing,
            version=self._read_start().version,
        )
        self._run(self._answer(self._read_request(), responder))

    def refuse(self, refusal: refusal_module.Refusal) -> None:
        """Answer a request that is not read to its end."""
        self._is_refused = True
        self._body.release()
        responder = responder_module.Responder(
            connection=self._connection,
            closing=lambda: True,
            version=self._read_start().version,
            request_read=self._is_read,
        )
        request = dataclasses.replace(
            self._read_request(), from_peer=self._server.guard is not None
        )
        forwarder = self._server.forwarder
        if refusal is refusal_module.Refusal.TOO_LARGE:
            self._run(forwarder.refuse_large_body(request, responder))
            return
        self._run(forwarder.refuse_body(request, responder))

    def release(self) -> None:
        """Release the memory of a body whose connection is closed."""
        self._body.release()

    def _read_start(self) -> httputil.RequestStartLine:
        assert self._start is not None
        return self._start

    def _read_request(self) -> caller_request.CallerRequest:
        return self._server.dialect.read_request(
            self._read_start(),
            self._headers,
            self._body.take(),
            self._received_s,
        )

    def _run(self, work: typing.Coroutine[None, None, None]) -> None:
        self._task = asyncio.create_task(work)
        self._task.add_done_callback(self._on_answered)

    def _on_answered(self, task: 'asyncio.Task[None]') -> None:
        self._body.release()
        _log_failure(task)

    async def _answer(
        self,
        request: caller_request.CallerRequest,
        responder: responder_module.Responder,
    ) -> None:
        guard = self._server.guard
        forwarder = self._server.forwarder
        if self._are_headers_too_large():
            await forwarder.refuse_headers(request, responder)
            return
        if guard is None:
            await forwarder.answer(request, responder)
            return
        # The token is for this host and must not reach a runner.
        token = request.headers.pop(peer_protocol.TOKEN, None)
        if not guard.admits(token):
            await forwarder.decline(request, responder, 'no accepted token')
            return
        # A runner has no use for it either.
        text = request.headers.pop(stream_version_header.NAME, None)
        try:
            version = stream_version_header.decode(text)
        except ValueError as exc:
            LOG.info(
                'ignored the software version of a passed-on stream',
                extra={'request': request.request_id, 'reason': str(exc)},
            )
            version = None
        await forwarder.answer(
            dataclasses.replace(
                request, from_peer=True, stream_version=version
            ),
            responder,
        )

    def _are_headers_too_large(self) -> bool:
        size = sum(
            len(name) + len(value) for name, value in self._headers.get_all()
        )
        max_bytes = self._server.limits.max_header_bytes
        return size > max_bytes + REQUEST_LINE_BYTES

    def on_connection_close(self) -> None:
        """Cancel the request of a caller that has disconnected."""
        if self._task is not None:
            self._task.cancel()
        else:
            self._body.release()


def _log_failure(task: 'asyncio.Task[None]') -> None:
    if task.cancelled():
        return
    exc = task.exception()
    if exc is not None:
        LOG.error('unexpected error in a request', exc_info=exc)
