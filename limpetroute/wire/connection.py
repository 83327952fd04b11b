"""One HTTP connection owned by the task that made it."""

import asyncio
import ipaddress
import socket
import ssl
import typing

from tornado import http1connection
from tornado import httputil
from tornado import iostream
from tornado import tcpclient

from limpetroute.wire import call_failed
from limpetroute.wire import reply

CHUNK_BYTES = 65536
CONNECT_TIMEOUT_S = 2.0
MAX_BODY_BYTES = 64 << 20
MAX_WAITING_CHUNKS = 16
IP_VERSION_6 = 6


class _Collector(httputil.HTTPMessageDelegate):
    """Gathers one response until its reader takes the parts.

    A timer for each part would cost more than the part itself: one
    timer runs for the whole response, and is set anew only when it
    fires and the reader has not waited long enough.
    """

    def __init__(self) -> None:
        self.status = 0
        self.headers: httputil.HTTPHeaders = httputil.HTTPHeaders()
        self.started = asyncio.Event()
        self.whole = False
        self.ended = False
        self._parts: list[bytes] = []
        self._room: asyncio.Event | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._since_s = 0.0

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        assert isinstance(start_line, httputil.ResponseStartLine)
        self.status = start_line.code
        self.headers = headers
        self.started.set()

    def data_received(self, chunk: bytes) -> typing.Awaitable[None] | None:
        self._parts.append(chunk)
        self._wake()
        if len(self._parts) < MAX_WAITING_CHUNKS:
            return None
        self._room = asyncio.Event()
        return self._wait_for_room(self._room)

    async def _wait_for_room(self, room: asyncio.Event) -> None:
        await room.wait()

    def finish(self) -> None:
        self.whole = True
        self._end()

    def on_connection_close(self) -> None:
        self.started.set()
        self._end()

    def take(self) -> bytes:
        """Return all parts that wait."""
        data = b''.join(self._parts)
        self._parts.clear()
        if self._room is not None:
            self._room.set()
            self._room = None
        return data

    async def wait(self, idle_timeout_s: float) -> None:
        """Wait for a part or the end."""
        loop = asyncio.get_running_loop()
        self._since_s = loop.time()
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
        """End the timer."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _check(self, idle_timeout_s: float) -> None:
        self._timer = None
        if self._waiter is None or self._waiter.done():
            return
        loop = asyncio.get_running_loop()
        left_s = self._since_s + idle_timeout_s - loop.time()
        if left_s > 0:
            self._timer = loop.call_later(left_s, self._check, idle_timeout_s)
            return
        self._waiter.set_exception(TimeoutError())

    def _end(self) -> None:
        self.ended = True
        self._wake()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


class Connection:
    """One request and its response on a socket of its own.

    A library client that cannot cancel a running fetch would leave a
    decode running for a caller that is gone; here `close` ends the
    socket, and the runner sees it at once.

    Parameters
    ----------
    host : str
        Address of the other end.
    port : int
        TCP port of the other end.
    tls : ssl.SSLContext or None
        Context for TLS, or None for plain text.
    unzips : bool
        Whether a gzipped body is unpacked. A runner's body is handed on
        as it came.
    """

    __slots__ = (
        '_collector',
        '_host',
        '_port',
        '_stream',
        '_task',
        '_tls',
        '_unzips',
    )

    def __init__(
        self,
        *,
        host: str,
        port: int,
        tls: ssl.SSLContext | None = None,
        unzips: bool = False,
    ) -> None:
        self._unzips = unzips
        self._host = host
        self._port = port
        self._tls = tls
        self._stream: iostream.IOStream | None = None
        self._collector = _Collector()
        self._task: asyncio.Future[bool] | None = None

    def __repr__(self) -> str:
        return (
            f'{type(self).__name__}(host={self._host!r}, port={self._port!r})'
        )

    async def connect(
        self, tries_s: typing.Sequence[float] = (CONNECT_TIMEOUT_S,)
    ) -> call_failed.CallFailed | None:
        """Connect ahead of `send`, with a timeout for each try."""
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
        # With a callback, the stream watches for the other end's close
        # while nothing is read from it.
        self._stream.set_close_callback(_nothing)
        return None

    async def send(
        self,
        *,
        method: str,
        path: str,
        headers: typing.Mapping[str, str],
        body: bytes,
        timeout_s: float,
        connect_tries_s: typing.Sequence[float] = (CONNECT_TIMEOUT_S,),
    ) -> call_failed.CallFailed | None:
        """Connect, send the request and wait for the response headers.

        ``Host`` among the headers is kept; otherwise it is this end's
        address. ``connect_tries_s`` has a timeout for each try to
        connect. A connection made before by `connect` is used, unless
        the other end has closed it: then nothing was sent on it, and
        another one is made.

        Returns
        -------
        CallFailed or None
            None once the headers have arrived.
        """
        sent = False
        try:
            async with asyncio.timeout(timeout_s):
                if self._stream is None or self._stream.closed():
                    await self._connect_in(connect_tries_s)
                assert self._stream is not None
                self._stream.set_nodelay(True)
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
                kind=call_failed.FailureKind.CLOSED, sent=True
            )
        return None

    async def _connect_in(self, tries_s: typing.Sequence[float]) -> None:
        """Connect, with a new socket after each timeout but the last.

        A lost opening packet is sent again by the system only after a
        second; a new socket sends one at once.
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
        """Connect, without the resolver's thread where there is no name.

        Hosts and runners are reached by number: handing each connect to
        the resolver's thread pool would cost more than the connect.
        """
        family = _family(self._host)
        if family is None:
            return await tcpclient.TCPClient().connect(
                self._host, self._port, ssl_options=self._tls
            )
        sock = socket.socket(family)
        address = (self._host, self._port)
        if self._tls is None:
            self._stream = iostream.IOStream(sock)
            return await self._stream.connect(address)
        # One stream from the first byte on: a plain stream that turns to
        # TLS gives its socket away, and a handshake that fails or hangs
        # could not be closed any more.
        self._stream = iostream.SSLIOStream(sock, ssl_options=self._tls)
        return await self._stream.connect(address, server_hostname=self._host)

    def _write(
        self,
        method: str,
        path: str,
        headers: typing.Mapping[str, str],
        body: bytes,
    ) -> None:
        """Begin to write, and read at the same time.

        A server may answer before it has read a long body and read on
        only then; a caller that first wrote all of it would wait for
        the server, which waits for its answer to be read.
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
        fields['Connection'] = 'close'
        if body or method in ('POST', 'PUT', 'PATCH'):
            fields['Content-Length'] = str(len(body))
        connection.write_headers(
            httputil.RequestStartLine(method, path, 'HTTP/1.1'), fields, body
        )
        connection.finish()
        self._task = asyncio.ensure_future(
            connection.read_response(self._collector)
        )
        self._task.add_done_callback(self._on_read_end)

    def _on_read_end(self, task: 'asyncio.Future[bool]') -> None:
        if not task.cancelled():
            task.exception()
        self._collector.on_connection_close()

    @property
    def status(self) -> int:
        """Status of the response."""
        return self._collector.status

    @property
    def headers(self) -> httputil.HTTPHeaders:
        """Headers of the response."""
        return self._collector.headers

    @property
    def whole(self) -> bool:
        """Whether the response arrived to its end.

        A body without a length ends with its connection. One that was
        reset ends the same way for the reader, and only the socket's
        error tells that the rest is missing.
        """
        if not self._collector.whole:
            return False
        headers = self._collector.headers
        framed = 'Content-Length' in headers or 'Transfer-Encoding' in headers
        if framed or self._stream is None:
            return True
        return self._stream.error is None

    async def chunks(
        self, *, idle_timeout_s: float
    ) -> typing.AsyncIterator[bytes]:
        """Yield the body as it arrives.

        A silent connection, both ends alive and its packets dropped in
        between, gives no error for ever; it shows as no chunk for
        ``idle_timeout_s``, and the iteration raises `TimeoutError`.
        """
        collector = self._collector
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

        With ``idle_timeout_s``, a body that stops coming for so long is
        given up before its time is over.
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

    def close(self) -> None:
        """End the socket; the other end sees it at once."""
        self._collector.close()
        if self._stream is not None:
            self._stream.close()


def _nothing() -> None:
    """Stand for a callback that has nothing to do."""


def _family(host: str) -> socket.AddressFamily | None:
    """Return the family of an IP number, or None for a name."""
    try:
        version = ipaddress.ip_address(host).version
    except ValueError:
        return None
    return socket.AF_INET6 if version == IP_VERSION_6 else socket.AF_INET
