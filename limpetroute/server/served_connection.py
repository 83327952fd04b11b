"""One connection that a server has accepted."""

import asyncio
import contextlib
import dataclasses
import logging
import typing

from tornado import httputil
from tornado import iostream

from limpetroute.routing import connection_eviction
from limpetroute.server import bounded_stream
from limpetroute.server import http_connection
from limpetroute.server import read_pacer
from limpetroute.server import refusal as refusal_module
from limpetroute.wire import buffer_budget

if typing.TYPE_CHECKING:
    from limpetroute.server import http_server

LOG = logging.getLogger(__name__)

# State of a connection.
CONNECTION_BYTES = 8 << 10
# Buffers of a TLS connection.
TLS_BYTES = 48 << 10
# What a connection with a request has read ahead, what the system keeps
# unread for it, and the objects of the request and of its link to a runner.
ACTIVE_BYTES = 96 << 10
# Objects of one header, beside its text.
FIELD_BYTES = 512
# How often the text of a head is kept.
HEAD_COPIES = 2
# Heads that are covered by `ACTIVE_BYTES`.
SMALL_HEAD_BYTES = 16 << 10
# Time for a client whose request was refused to stop sending.
DROP_TIMEOUT_S = 10.0
RETRY_AFTER_S = 1
TIMED_OUT = (
    'HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\n'
    f'Retry-After: {RETRY_AFTER_S}\r\nConnection: close\r\n\r\n'
).encode()
_Phase = connection_eviction.ConnectionPhase


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ConnectionContext:
    """What handlers learn of a connection."""

    remote_ip: str
    protocol: str
    address: typing.Any


class ServedConnection:
    """One connection that a server has accepted.

    Parameters
    ----------
    server : HttpServer
        The server.
    stream : BoundedStream
        The connection's bytes.
    address : tuple
        The client's address.
    lease : BufferLease
        Memory of the connection.
    """

    __slots__ = (
        '_active_bytes',
        '_body_bytes',
        '_context',
        '_delegate',
        '_head_bytes',
        '_lease',
        '_loop',
        '_read_bytes',
        '_request',
        '_server',
        '_stream',
        '_task',
        'progress',
    )

    def __init__(
        self,
        *,
        server: 'http_server.HttpServer',
        stream: bounded_stream.BoundedStream,
        address: typing.Any,
        lease: buffer_budget.BufferLease,
    ) -> None:
        self._server = server
        self._stream = stream
        self._lease = lease
        self._loop = asyncio.get_running_loop()
        now_s = self._loop.time()
        self.progress = connection_eviction.ConnectionProgress(
            active_s=now_s, progress_s=now_s
        )
        self._active_bytes = 0
        self._head_bytes = 0
        self._body_bytes = 0
        # Bytes that have arrived since the head of a request began.
        self._read_bytes = 0
        self._context = ConnectionContext(
            remote_ip=str(address[0]) if address else '0.0.0.0',
            protocol='https'
            if isinstance(stream, bounded_stream.BoundedTlsStream)
            else 'http',
            address=address,
        )
        self._request: http_connection.HttpConnection | None = None
        self._delegate: httputil.HTTPMessageDelegate | None = None
        self._task: asyncio.Task[None] | None = None
        stream.owner = self

    def __repr__(self) -> str:
        return f'{type(self).__name__}(progress={self.progress!r})'

    @property
    def max_body_bytes(self) -> int:
        """Maximum size of a body."""
        return self._server.limits.max_body_bytes

    @property
    def pacer(self) -> read_pacer.ReadPacer:
        """Bounds the work on bodies in one turn of the event loop."""
        return self._server.pacer

    def start(self) -> None:
        """Start to serve requests."""
        self._task = asyncio.create_task(self._serve())

    async def close(self) -> None:
        """Close the connection and wait for the end of its task."""
        self._stream.close()
        if self._task is not None:
            await asyncio.wait([self._task])

    async def _serve(self) -> None:
        try:
            while await self._serve_request():
                self._enter(_Phase.IDLE)
                await asyncio.sleep(0)
        except (iostream.StreamClosedError, iostream.UnsatisfiableReadError):
            return
        except Exception:  # noqa: BLE001
            LOG.exception('unexpected error on a connection')
        finally:
            self._stream.close()
            self._server.delegate.on_close(self)

    async def _serve_request(self) -> bool:
        """Serve one request; return whether another one may follow."""
        server = self._server
        request = http_connection.HttpConnection(
            stream=self._stream,
            params=server.params,
            context=self._context,
            owner=self,
        )
        self._request = request
        self._delegate = server.delegate.start_request(self, request)
        try:
            return await request.read_response(self._delegate)
        finally:
            self._release_request()
            self._request = self._delegate = None

    def _enter(self, phase: connection_eviction.ConnectionPhase) -> None:
        self.progress.enter(phase, self._loop.time())

    def take_head(self, size_bytes: int, lines: int) -> bool:
        """Reserve memory for a head; return False if there is none."""
        self._give_back_head()
        if not self._take_active():
            return False
        wanted = FIELD_BYTES * lines + HEAD_COPIES * size_bytes
        if wanted <= SMALL_HEAD_BYTES:
            return True
        if not self._lease.take(wanted):
            return False
        self._head_bytes = wanted
        return True

    def begin_body(self) -> None:
        """Record that a body arrives."""
        self._enter(_Phase.BODY)

    def take_body(self, count: int) -> bool:
        """Reserve memory for a part of a body; False if there is none."""
        wanted = count * self._server.limits.body_copies
        if not self._lease.take(wanted):
            return False
        self._body_bytes += wanted
        return True

    def end_request(self) -> None:
        """Record that a request has arrived."""
        self._enter(_Phase.ANSWERING)

    def begin_dropping(self) -> None:
        """Release the body of a request; the rest of it is dropped."""
        self._give_back_body()
        self._enter(_Phase.REFUSED)

    def note_refused(self, refusal: refusal_module.Refusal) -> None:
        """Record that a request was refused."""
        self._server.note_refused(refusal)

    def note_read(self, count: int) -> None:
        """Record that bytes have arrived."""
        phase = self.progress.phase
        if phase in (_Phase.UNUSED, _Phase.IDLE):
            self._enter(_Phase.HEAD)
            self._read_bytes = 0
            phase = _Phase.HEAD
        self.progress.note_bytes(count, self._loop.time())
        if phase is not _Phase.HEAD:
            return
        self._read_bytes += count
        # The first read is covered by `ACTIVE_BYTES`.
        if self._read_bytes <= bounded_stream.READ_BYTES:
            count = 0
        if self._take_active() and self._lease.take(count):
            self._head_bytes += count
            return
        # A stream must not be closed while it is being read.
        self._loop.call_soon(self._close, 'memory')

    def note_written(self, count: int) -> None:
        """Record that the client has taken bytes."""
        self.progress.active_s = self._loop.time()
        freed = min(count, self.progress.unsent_bytes)
        self.progress.unsent_bytes -= freed
        self._lease.give_back(freed)

    def take_unsent(self, count: int) -> bool:
        """Reserve memory for bytes of an answer; False if there is none."""
        if not self._stream.writing():
            self.progress.active_s = self._loop.time()
        if not self._server.limits.counts_unsent:
            return True
        if self.progress.phase is _Phase.REFUSED:
            # A refusal is short, and is what frees memory.
            return True
        if not self._lease.take(count):
            self._server.note_closed('memory for its answer')
            return False
        self.progress.unsent_bytes += count
        return True

    def note_closed(self) -> None:
        """Release all resources of a stream that is closed."""
        self._lease.release()
        self._head_bytes = self._body_bytes = self._active_bytes = 0
        self.progress.unsent_bytes = 0
        self._server.table.discard(self)

    def close_if_late(self, now_s: float) -> None:
        """Close the connection if it has exceeded a timeout."""
        limits = self._server.limits
        progress = self.progress
        silent_s = now_s - progress.active_s
        if progress.phase is _Phase.REFUSED:
            if progress.lag_s(now_s) > DROP_TIMEOUT_S:
                self._stream.close()
        elif progress.phase is _Phase.ANSWERING:
            if self._stream.writing() and silent_s > limits.stall_timeout_s:
                self._close('answer not taken')
        elif progress.phase is _Phase.BODY:
            is_slow = progress.lag_s(now_s) > limits.progress_timeout_s
            if is_slow or silent_s > limits.idle_timeout_s:
                self.evict('timeout')
        elif now_s - progress.progress_s > limits.idle_timeout_s:
            self._stream.close()

    def evict(self, reason: str) -> None:
        """Close the connection, with a refusal if a body is arriving."""
        request = self._request
        is_body = self.progress.phase is _Phase.BODY
        self._release_request()
        if isinstance(self._delegate, refusal_module.RefusingDelegate):
            self._delegate.release()
        if is_body and request is not None and not request.has_begun_answer:
            self._enter(_Phase.REFUSED)
            # The client may have gone, or may take no answer.
            with contextlib.suppress(iostream.StreamClosedError):
                self._stream.write(TIMED_OUT)
        self._close(reason)

    def _close(self, reason: str) -> None:
        if self._stream.closed():
            return
        self._stream.close()
        self._server.note_closed(reason)

    def _give_back_head(self) -> None:
        self._lease.give_back(self._head_bytes)
        self._head_bytes = 0

    def _take_active(self) -> bool:
        """Reserve memory for a request; return False if there is none."""
        if not self._active_bytes:
            if not self._lease.take(ACTIVE_BYTES):
                return False
            self._active_bytes = ACTIVE_BYTES
        return True

    def _give_back_body(self) -> None:
        self._lease.give_back(self._body_bytes)
        self._body_bytes = 0

    def _release_request(self) -> None:
        self._give_back_head()
        self._give_back_body()
        self._lease.give_back(self._active_bytes)
        self._active_bytes = 0
