"""One HTTP request and its response."""

import asyncio
import enum
import ipaddress
import socket
import ssl
import struct
import typing

from tornado import http1connection
from tornado import httputil
from tornado import iostream
from tornado import tcpclient

from limpetroute.wire import call_failed
from limpetroute.wire import chunked_body
from limpetroute.wire import client_stream
from limpetroute.wire import connection_pool
from limpetroute.wire import delivery_bound
from limpetroute.wire import drop_reason
from limpetroute.wire import idle_check
from limpetroute.wire import reply

CHUNK_BYTES = 65536
CONNECT_TIMEOUT_S = 2.0
MAX_BODY_BYTES = 64 << 20
MAX_BUFFERED_CHUNKS = 16
IP_VERSION_6 = 6
HTTP_OK = 200
HTTP_REDIRECTION = 300
MAX_STATUS = 599
PERSISTENT_VERSION = 'HTTP/1.1'


class Framing(enum.StrEnum):
    """What marks the end of a response's body (RFC 9112, section 6.3)."""

    LENGTH = 'length'
    CHUNKED = 'chunked'
    CLOSE = 'close'


class _Collector(httputil.HTTPMessageDelegate):
    """Buffers the chunks of one response until they are taken.

    A timer for each chunk would cost more than the chunk itself. One
    timer runs for the whole response instead, and is restarted only if
    it fires before the current wait has reached the idle timeout.
    """

    def __init__(self, *, counts_interim: bool = False) -> None:
        self._counts_interim = counts_interim
        # Called when the head of the response has arrived.
        self.on_head: typing.Callable[[], None] = _do_nothing
        # Returns whether a response that has ended is incomplete.
        self.is_cut: typing.Callable[[], bool] = lambda: False
        self.status = 0
        self.version = ''
        self.headers: httputil.HTTPHeaders = httputil.HTTPHeaders()
        self.started = asyncio.Event()
        self.whole = False
        self.ended = False
        self._chunks: list[bytes] = []
        self._taken: asyncio.Event | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._wait_started_s = 0.0

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        assert isinstance(start_line, httputil.ResponseStartLine)
        if start_line.code > MAX_STATUS:
            # No answer (RFC 9110, section 15).
            self.started.set()
            return
        if start_line.code < HTTP_OK:
            # An interim response; the checks of the head are for the final
            # one.
            if self._counts_interim:
                self.status = start_line.code
                self.started.set()
            return
        self.status = start_line.code
        self.version = start_line.version
        self.headers = headers
        self.on_head()
        self.started.set()

    def data_received(self, chunk: bytes) -> typing.Awaitable[None] | None:
        self._chunks.append(chunk)
        self._wake()
        if len(self._chunks) < MAX_BUFFERED_CHUNKS:
            return None
        self._taken = asyncio.Event()
        return self._wait_until_taken(self._taken)

    async def _wait_until_taken(self, taken: asyncio.Event) -> None:
        await taken.wait()

    def finish(self) -> None:
        self.whole = not self.is_cut()
        self._end()

    def on_connection_close(self) -> None:
        self.started.set()
        self._end()

    def take(self) -> bytes:
        """Remove and return all buffered chunks."""
        data = b''.join(self._chunks)
        self._chunks.clear()
        if self._taken is not None:
            self._taken.set()
            self._taken = None
        return data

    async def wait(self, idle_timeout_s: float) -> None:
        """Wait for a chunk or the end of the response."""
        loop = asyncio.get_running_loop()
        self._wait_started_s = loop.time()
        self._waiter = loop.create_future()
        if self._timer is None:
            self._timer = loop.call_later(
                idle_timeout_s, self._check, idle_timeout_s
            )
        try:
            await self._waiter
        finally:
            self._waiter = None

    def close(self) -> None:
        """Cancel the timer."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _check(self, idle_timeout_s: float) -> None:
        self._timer = None
        if self._waiter is None or self._waiter.done():
            return
        loop = asyncio.get_running_loop()
        remaining_s = self._wait_started_s + idle_timeout_s - loop.time()
        if remaining_s > 0:
            self._timer = loop.call_later(
                remaining_s, self._check, idle_timeout_s
            )
            return
        self._waiter.set_exception(TimeoutError())

    def _end(self) -> None:
        self.ended = True
        self._wake()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


class Connection:
    """One request and its response.

    With a client library that cannot cancel a running fetch, a decode
    would continue for a caller that has disconnected. `close` closes the
    socket, which the runner detects at once. `release` keeps the socket for
    another request if that is possible.

    Parameters
    ----------
    host : str
        Host name or IP address of the server.
    port : int
        TCP port of the server.
    tls : ssl.SSLContext or None
        Context for TLS, or None for plain text.
    unzips : bool
        Whether to decompress a gzipped body. The body of a runner is
        passed on unchanged.
    slot : PoolSlot or None
        Where sockets to the server are kept, or None to use a new one and
        to close it after the response.
    counts_interim : bool
        Whether `send` returns at an interim response; its status is then that
        of the final response once the body has been read.
    delivery : DeliveryBound or None
        Bounds the time at which the request may reach the server.
    """

    __slots__ = (
        '_collector',
        '_delivery',
        '_has_early_answer',
        '_host',
        '_is_head_request',
        '_port',
        '_slot',
        '_stream',
        '_task',
        '_tls',
        '_unzips',
        'is_reused',
    )

    def __init__(
        self,
        *,
        host: str,
        port: int,
        tls: ssl.SSLContext | None = None,
        unzips: bool = False,
        slot: connection_pool.PoolSlot | None = None,
        counts_interim: bool = False,
        delivery: delivery_bound.DeliveryBound | None = None,
    ) -> None:
        self._delivery = delivery
        # Whether the request was sent on a kept socket.
        self.is_reused = False
        self._slot = slot
        self._is_head_request = False
        self._has_early_answer = False
        self._unzips = unzips
        self._host = host
        self._port = port
        self._tls = tls
        self._stream: iostream.IOStream | None = None
        self._collector = _Collector(counts_interim=counts_interim)
        self._collector.is_cut = self._is_unread_success
        self._task: asyncio.Future[bool] | None = None

    def __repr__(self) -> str:
        return (
            f'{type(self).__name__}(host={self._host!r}, port={self._port!r})'
        )

    async def connect(
        self, tries_s: typing.Sequence[float] = (CONNECT_TIMEOUT_S,)
    ) -> call_failed.CallFailed | None:
        """Connect before `send`, with a timeout for each attempt."""
        try:
            await self._connect_in(tries_s)
        except (TimeoutError, OSError, iostream.StreamClosedError) as exc:
            self.close()
            cause = getattr(exc, 'real_error', None) or exc
            return call_failed.CallFailed(
                kind=call_failed.FailureKind.CONNECT,
                sent=False,
                detail=str(cause),
                refused=isinstance(cause, ConnectionRefusedError),
            )
        except asyncio.CancelledError:
            self.close()
            raise
        assert self._stream is not None
        # With a callback set, the stream detects that the server closes
        # the connection even while nothing is read from it.
        self._stream.set_close_callback(_do_nothing)
        return None

    async def send(
        self,
        *,
        method: str,
        path: str,
        headers: typing.Mapping[str, str],
        body: bytes | chunked_body.ChunkedBody,
        timeout_s: float,
        connect_tries_s: typing.Sequence[float] = (CONNECT_TIMEOUT_S,),
    ) -> call_failed.CallFailed | None:
        """Connect, send the request and wait for the response headers.

        A ``Host`` header is kept; without one, the server's address and
        port are sent. ``connect_tries_s`` has the timeout of each attempt
        to connect. A connection opened by `connect` is used. If the server
        has closed it, nothing was sent on it yet, so a new one is opened.
        The same holds for a kept one that is closed or has unexpected bytes
        before the first byte is written to it. Any later failure counts as
        sent.

        Returns
        -------
        CallFailed or None
            None once the headers have arrived.
        """
        sent = False
        try:
            async with asyncio.timeout(timeout_s):
                if self._stream is None and self._slot is not None:
                    # The request is written in the same step of the event
                    # loop, so nothing can happen to a socket that passed
                    # the checks without the system reporting it.
                    self._stream = self._slot.take()
                    self.is_reused = self._stream is not None
                if self._stream is None or self._stream.closed():
                    await self._connect_in(connect_tries_s)
                    if self._slot is not None:
                        self._slot.pool.observer.opened()
                assert self._stream is not None
                self._stream.set_nodelay(True)
                if self._delivery is not None:
                    _set_user_timeout(
                        self._stream.socket, self._delivery.unacknowledged_s
                    )
                    if not self._delivery.may_write():
                        self.close()
                        return call_failed.CallFailed(
                            kind=call_failed.FailureKind.ABANDONED, sent=False
                        )
                sent = True
                self._write(method, path, headers, body)
                await self._collector.started.wait()
        except TimeoutError:
            self.close()
            kind = call_failed.FailureKind.TIMEOUT
            if not sent:
                kind = call_failed.FailureKind.CONNECT
            return call_failed.CallFailed(kind=kind, sent=sent)
        except (OSError, iostream.StreamClosedError) as exc:
            self.close()
            kind = call_failed.FailureKind.CLOSED
            if not sent:
                kind = call_failed.FailureKind.CONNECT
            cause = getattr(exc, 'real_error', None) or exc
            return call_failed.CallFailed(
                kind=kind, sent=sent, detail=str(cause)
            )
        except asyncio.CancelledError:
            self.close()
            raise
        if not self._collector.status:
            self.close()
            return call_failed.CallFailed(
                kind=call_failed.FailureKind.CLOSED,
                sent=True,
                detail='no valid answer',
            )
        return None

    async def _connect_in(self, tries_s: typing.Sequence[float]) -> None:
        """Connect, with a new socket for each attempt.

        The system repeats a lost SYN packet only after 1 s, whereas a new
        socket sends one at once.
        """
        for try_s in tries_s[:-1]:
            try:
                async with asyncio.timeout(try_s):
                    self._stream = await self._connect()
                return
            except TimeoutError:
                if self._stream is not None:
                    self._stream.close()
        async with asyncio.timeout(tries_s[-1]):
            self._stream = await self._connect()

    async def _connect(self) -> iostream.IOStream:
        """Connect, and use the resolver only for host names.

        Hosts and runners are addressed by IP address. Passing such an
        address through the resolver's thread pool would cost more than
        the connect itself.
        """
        family = _family(self._host)
        if family is None:
            return await tcpclient.TCPClient().connect(
                self._host, self._port, ssl_options=self._tls
            )
        sock = socket.socket(family)
        address = (self._host, self._port)
        if self._tls is None:
            self._stream = client_stream.ClientStream(sock)
            return await self._stream.connect(address)
        # Create a TLS stream from the start. A plain stream that is
        # upgraded to TLS detaches its socket, which then could not be
        # closed if the handshake fails or hangs.
        self._stream = client_stream.TlsClientStream(
            sock, ssl_options=self._tls
        )
        return await self._stream.connect(address, server_hostname=self._host)

    def _write(
        self,
        method: str,
        path: str,
        headers: typing.Mapping[str, str],
        body: bytes | chunked_body.ChunkedBody,
    ) -> None:
        """Start to write the request and to read the response.

        A server may answer before it has read a long body, and read the
        remainder only after its answer was read. A client that wrote the
        complete body first would deadlock with such a server.
        """
        assert self._stream is not None
        connection = http1connection.HTTP1Connection(
            self._stream,
            True,
            http1connection.HTTP1ConnectionParameters(
                no_keep_alive=True,
                chunk_size=CHUNK_BYTES,
                max_body_size=MAX_BODY_BYTES,
                decompress=self._unzips,
            ),
        )
        fields = httputil.HTTPHeaders(headers)
        if 'Host' not in fields:
            fields['Host'] = f'{self._host}:{self._port}'
        if self._slot is None:
            fields['Connection'] = 'close'
        else:
            self._is_head_request = method == 'HEAD'
            self._collector.on_head = self._check_early_answer
        if body or method in ('POST', 'PUT', 'PATCH'):
            fields['Content-Length'] = str(len(body))
        line = httputil.RequestStartLine(method, path, 'HTTP/1.1')
        if isinstance(body, chunked_body.ChunkedBody):
            connection.write_headers(line, fields)
            for chunk in body.chunks:
                connection.write(chunk)
        else:
            connection.write_headers(line, fields, body)
        connection.finish()
        self._task = asyncio.ensure_future(
            connection.read_response(self._collector)
        )
        self._task.add_done_callback(self._on_read_end)

    def _check_early_answer(self) -> None:
        """Record whether the server answered before it had the request.

        It might take the rest of the request's body for the next request.
        """
        assert self._stream is not None
        self._has_early_answer = idle_check.has_unsent(self._stream)

    def _is_unread_success(self) -> bool:
        """Return whether a server that had not read the request succeeded.

        The end of the connection is all that shows the end of the response,
        and the server broke off. A refusal may come so early.
        """
        return (
            self.framing is Framing.CLOSE
            and HTTP_OK <= self.status < HTTP_REDIRECTION
            and isinstance(self._stream, client_stream.STREAMS)
            and self._stream.ended_early
        )

    def _on_read_end(self, task: 'asyncio.Future[bool]') -> None:
        if not task.cancelled():
            task.exception()
        self._collector.on_connection_close()

    @property
    def status(self) -> int:
        """HTTP status of the response."""
        return self._collector.status

    @property
    def headers(self) -> httputil.HTTPHeaders:
        """Headers of the response."""
        return self._collector.headers

    @property
    def framing(self) -> Framing:
        """What marks the end of the response's body."""
        if 'Transfer-Encoding' in self._collector.headers:
            return Framing.CHUNKED
        if 'Content-Length' in self._collector.headers:
            return Framing.LENGTH
        return Framing.CLOSE

    @property
    def whole(self) -> bool:
        """Whether the complete response arrived.

        A body without a length ends when the connection is closed. A
        reset connection looks the same to the reader; only the error of
        the socket shows that the body is incomplete.
        """
        if not self._collector.whole:
            return False
        if self.framing is not Framing.CLOSE or self._stream is None:
            return True
        return self._stream.error is None

    async def chunks(
        self, *, idle_timeout_s: float
    ) -> typing.AsyncIterator[bytes]:
        """Yield the body as it arrives.

        If the network drops all packets of a connection, neither end
        gets an error. The iteration therefore raises `TimeoutError` when
        no chunk arrives for ``idle_timeout_s``.
        """
        collector = self._collector
        # An earlier iteration may have had another timeout.
        collector.close()
        while True:
            data = collector.take()
            if data:
                yield data
                continue
            if collector.ended:
                return
            await collector.wait(idle_timeout_s)

    async def read(
        self,
        *,
        timeout_s: float,
        max_bytes: int = MAX_BODY_BYTES,
        idle_timeout_s: float | None = None,
    ) -> reply.Reply | call_failed.CallFailed:
        """Read the whole body, of at most ``max_bytes``.

        With ``idle_timeout_s``, a gap of that length between two chunks
        fails the call before ``timeout_s`` is over.
        """
        idle_s = timeout_s if idle_timeout_s is None else idle_timeout_s
        parts = []
        size = 0
        try:
            async with asyncio.timeout(timeout_s):
                async for chunk in self.chunks(idle_timeout_s=idle_s):
                    parts.append(chunk)
                    size += len(chunk)
                    if size > max_bytes:
                        return call_failed.CallFailed(
                            kind=call_failed.FailureKind.GARBLED,
                            sent=True,
                            detail=f'reply over {max_bytes} bytes',
                        )
        except TimeoutError:
            return call_failed.CallFailed(
                kind=call_failed.FailureKind.TIMEOUT,
                sent=True,
                received_bytes=size,
            )
        if not self.whole:
            return call_failed.CallFailed(
                kind=call_failed.FailureKind.CLOSED,
                sent=True,
                received_bytes=size,
            )
        return reply.Reply(
            status=self.status, headers=self.headers, body=b''.join(parts)
        )

    def release(self) -> None:
        """Keep the socket for another request, or close it."""
        slot, stream = self._slot, self._stream
        if slot is None or stream is None:
            self.close()
            return
        reason = self._reason_to_close()
        if reason is not None:
            self._close_for(reason)
            return
        self._collector.close()
        # The socket is another request's from now on.
        self._slot = None
        self._stream = None
        slot.keep(stream, self.headers.get('Keep-Alive'))

    def close(self) -> None:
        """Close the socket, which the server detects at once."""
        self._close_for(drop_reason.DropReason.UNFINISHED)

    def _close_for(self, reason: drop_reason.DropReason) -> None:
        self._collector.close()
        if self._stream is None:
            return
        if self._delivery and not self._collector.whole:
            _reset_on_close(self._stream)
        self._stream.close()
        if self._slot is not None and self._task is not None:
            self._slot.pool.observer.dropped(reason)
        self._slot = None

    def _reason_to_close(self) -> drop_reason.DropReason | None:
        """Return why the socket can carry no further request, or None."""
        is_read = self._task is not None and self._task.done()
        if not self._collector.whole:
            return drop_reason.DropReason.UNFINISHED
        if self._has_early_answer or not is_read:
            return drop_reason.DropReason.EARLY_ANSWER
        if self.framing is Framing.CLOSE or self._is_head_request:
            return drop_reason.DropReason.NO_FRAMING
        options = self.headers.get('Connection', '').lower().split(',')
        if self._collector.version != PERSISTENT_VERSION or {
            'close',
            'upgrade',
        } & {one.strip() for one in options}:
            return drop_reason.DropReason.CONNECTION_CLOSE
        return None


def _set_user_timeout(sock: socket.socket, timeout_s: float) -> None:
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, round(timeout_s * 1000)
    )


def _reset_on_close(stream: iostream.IOStream) -> None:
    """Discard what the system has not sent when the stream is closed."""
    if stream.closed():
        return
    linger = struct.pack('ii', 1, 0)
    stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


def _do_nothing() -> None:
    """Do nothing; used as the close callback of a stream."""


def _family(host: str) -> socket.AddressFamily | None:
    """Return the family of an IP address, or None for a host name."""
    try:
        version = ipaddress.ip_address(host).version
    except ValueError:
        return None
    return socket.AF_INET6 if version == IP_VERSION_6 else socket.AF_INET
