"""Reads the requests of one connection within the limits of its port."""

import json
import typing

from tornado import http1connection
from tornado import httputil
from tornado import iostream

from limpetroute.server import body_source
from limpetroute.server import bounded_stream
from limpetroute.server import read_pacer
from limpetroute.server import refusal as refusal_module

RETRY_AFTER_S = 1
UNAVAILABLE = (
    'HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n'
    f'Retry-After: {RETRY_AFTER_S}\r\nConnection: close\r\n\r\n'
).encode()
# Bytes of a refused body that are read and dropped, as a multiple of the
# limit. Closing the connection earlier resets it, and the client may lose the
# answer.
DROP_FACTOR = 4
MIN_DROPPED_BYTES = 1 << 20


class RequestOwner(typing.Protocol):
    """The connection that a request arrives on."""

    @property
    def max_body_bytes(self) -> int:
        """Maximum size of a body."""

    @property
    def pacer(self) -> read_pacer.ReadPacer:
        """Bounds the work on bodies in one turn of the event loop."""

    def take_head(self, size_bytes: int, lines: int) -> bool:
        """Reserve memory for a head; return False if there is none."""

    def begin_body(self) -> None:
        """Record that a body arrives."""

    def take_body(self, count: int) -> bool:
        """Reserve memory for a part of a body; False if there is none."""

    def end_request(self) -> None:
        """Record that a request has arrived."""

    def note_refused(self, refusal: refusal_module.Refusal) -> None:
        """Record that a request was refused."""

    def begin_dropping(self) -> None:
        """Release what a request uses; the rest of it is dropped."""


class HttpConnection(http1connection.HTTP1Connection):
    """Reads one request of a connection and writes its answer.

    Tornado's reader bounds neither the memory of all bodies nor the work on
    them in one turn of the event loop, and has no hook for the framing of
    bodies, so this class replaces the method that reads a body. It checks the
    size of a head before the head is parsed.
    """

    def __init__(
        self,
        *,
        stream: iostream.IOStream,
        params: http1connection.HTTP1ConnectionParameters,
        context: object,
        owner: RequestOwner,
    ) -> None:
        super().__init__(stream, False, params, context)
        self._owner = owner

    def __repr__(self) -> str:
        return f'{type(self).__name__}(owner={self._owner!r})'

    @property
    def has_begun_answer(self) -> bool:
        """Whether the first bytes of an answer have been written."""
        return self._response_start_line is not None

    def _parse_headers(self, data: bytes) -> tuple[str, httputil.HTTPHeaders]:
        if not self._owner.take_head(len(data), data.count(b'\n')):
            self._owner.note_refused(refusal_module.Refusal.NO_MEMORY_FOR_HEAD)
            # The parsed head would be many times as large.
            self.stream.write(UNAVAILABLE)
            self.close()
            raise iostream.StreamClosedError()
        return super()._parse_headers(data)

    def _read_body(
        self,
        code: int,
        headers: httputil.HTTPHeaders,
        delegate: httputil.HTTPMessageDelegate,
    ) -> typing.Awaitable[None] | None:
        self._check_open()
        is_chunked = http1connection.is_transfer_encoding_chunked(headers)
        length = _content_length(headers)
        refusal = None
        if length > self._owner.max_body_bytes:
            refusal = refusal_module.Refusal.TOO_LARGE
        elif length and not _has_room(delegate, length):
            refusal = refusal_module.Refusal.NO_MEMORY
        if refusal is None and not is_chunked and not length:
            self._owner.end_request()
            return None
        source = body_source.BodySource(
            stream=self._own_stream(),
            pacer=self._owner.pacer,
            length=None if is_chunked else length,
        )
        return self._read_and_deliver(delegate, source, refusal)

    def _check_open(self) -> None:
        """Check that a search for memory did not close this connection.

        Its client may repeat the request elsewhere, so it must not run.
        """
        if self.stream.closed():
            raise iostream.StreamClosedError()

    def _own_stream(self) -> bounded_stream.BoundedStream:
        return typing.cast(bounded_stream.BoundedStream, self.stream)

    async def _read_and_deliver(
        self,
        delegate: httputil.HTTPMessageDelegate,
        source: body_source.BodySource,
        refusal: refusal_module.Refusal | None,
    ) -> None:
        self._owner.begin_body()
        if refusal is None:
            refusal = await self._deliver(delegate, source)
        if refusal is None:
            self._owner.end_request()
            return
        await self._refuse(delegate, source, refusal)

    async def _deliver(
        self,
        delegate: httputil.HTTPMessageDelegate,
        source: body_source.BodySource,
    ) -> refusal_module.Refusal | None:
        """Pass a body on; return why the rest is refused, if it is."""
        owner = self._owner
        received = 0
        while not source.is_complete:
            body = await source.read()
            received += len(body)
            if received + source.announced_bytes > owner.max_body_bytes:
                return refusal_module.Refusal.TOO_LARGE
            if not body:
                continue
            if self._write_finished:
                # The answer came before the end of the request.
                owner.begin_dropping()
                await source.drop(self._max_dropped_bytes())
                return None
            if not owner.take_body(len(body)) or not _has_room(
                delegate, len(body)
            ):
                return refusal_module.Refusal.NO_MEMORY
            self._check_open()
            await self._deliver_body(delegate, body)
            # The part must not stay in memory while the next one is awaited.
            del body
        return None

    def _max_dropped_bytes(self) -> int:
        return max(MIN_DROPPED_BYTES, DROP_FACTOR * self._owner.max_body_bytes)

    async def _refuse(
        self,
        delegate: httputil.HTTPMessageDelegate,
        source: body_source.BodySource,
        refusal: refusal_module.Refusal,
    ) -> None:
        """Answer at once, and drop the rest of the request."""
        self._owner.note_refused(refusal)
        self._owner.begin_dropping()
        if isinstance(delegate, refusal_module.RefusingDelegate):
            delegate.refuse(refusal)
            await source.drop(self._max_dropped_bytes())
            return
        # Has the delegate release the first part of the body.
        delegate.on_connection_close()
        if not self._write_finished:
            await self._write_refusal(refusal)
        await source.drop(self._max_dropped_bytes())
        if not self._write_finished:
            self.finish()

    async def _write_refusal(self, refusal: refusal_module.Refusal) -> None:
        body = json.dumps({'reason': refusal.value}).encode()
        headers = httputil.HTTPHeaders(
            {
                'Content-Type': 'application/json',
                'Content-Length': str(len(body)),
                'Connection': 'close',
            }
        )
        status = refusal_module.STATUS[refusal]
        if refusal is not refusal_module.Refusal.TOO_LARGE:
            headers['Retry-After'] = str(RETRY_AFTER_S)
        line = httputil.ResponseStartLine(
            'HTTP/1.1', status, httputil.responses.get(status, 'Refused')
        )
        await self.write_headers(line, headers, body)


def _has_room(delegate: httputil.HTTPMessageDelegate, count: int) -> bool:
    """Return whether the delegate has memory for a part of a body."""
    if not isinstance(delegate, refusal_module.RefusingDelegate):
        return True
    return delegate.has_room(count)


def _content_length(headers: httputil.HTTPHeaders) -> int:
    """Return the length of a body, 0 without one.

    Raises
    ------
    HTTPInputError
        If the header is not a number, or is repeated with another one.
    """
    text = headers.get('Content-Length')
    if text is None:
        return 0
    values = {one.strip() for one in text.split(',')}
    if len(values) > 1:
        raise httputil.HTTPInputError('Multiple unequal Content-Lengths')
    try:
        return http1connection.parse_int(values.pop())
    except ValueError as exc:
        raise httputil.HTTPInputError('Content-Length is no integer') from exc
