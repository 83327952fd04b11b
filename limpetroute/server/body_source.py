"""Reads the body of one request."""

from tornado import httputil
from tornado import iostream

from limpetroute.server import bounded_stream
from limpetroute.server import chunked_decoder
from limpetroute.server import read_pacer


class BodySource:
    """Reads the body of one request.

    Parameters
    ----------
    stream : BoundedStream
        The connection that it arrives on.
    pacer : ReadPacer
        Bounds the work in one turn of the event loop.
    length : int or None
        Length of the body in bytes; None for chunked transfer coding.
    """

    __slots__ = ('_decoder', '_is_first', '_left_bytes', '_pacer', '_stream')

    def __init__(
        self,
        *,
        stream: bounded_stream.BoundedStream,
        pacer: read_pacer.ReadPacer,
        length: int | None,
    ) -> None:
        self._stream = stream
        self._pacer = pacer
        self._left_bytes = length or 0
        self._decoder: chunked_decoder.ChunkedDecoder | None = None
        if length is None:
            self._decoder = chunked_decoder.ChunkedDecoder()
        self._is_first = True

    def __repr__(self) -> str:
        return f'{type(self).__name__}(left_bytes={self._left_bytes!r})'

    @property
    def is_complete(self) -> bool:
        """Whether the whole body has been read."""
        if self._decoder is None:
            return not self._left_bytes
        return self._decoder.is_complete

    @property
    def announced_bytes(self) -> int:
        """Bytes that are known to follow."""
        if self._decoder is None:
            return self._left_bytes
        return self._decoder.left_bytes

    async def read(self) -> bytes:
        """Return the next part of the body, which may be empty.

        Raises
        ------
        HTTPInputError
            If the body is not in chunked transfer coding.
        StreamClosedError
            If the connection is closed.
        """
        want = bounded_stream.READ_BYTES
        if self._decoder is None:
            want = min(want, self._left_bytes)
        data = await self._stream.read_bytes(want, partial=True)
        await self._await_turn(data)
        if self._stream.closed():
            # A request that was refused by its close must not complete.
            raise iostream.StreamClosedError()
        if self._decoder is None:
            self._left_bytes -= len(data)
            return data
        try:
            body = self._decoder.feed(data)
        except chunked_decoder.ChunkedFramingError as exc:
            raise httputil.HTTPInputError(str(exc)) from exc
        if self._decoder.is_complete and self._decoder.rest:
            self._stream.push_back(self._decoder.rest)
        return body

    async def drop(self, max_bytes: int) -> None:
        """Read the rest of the body, or the first part of it, for nothing."""
        dropped = 0
        while not self.is_complete and dropped < max_bytes:
            try:
                dropped += len(await self.read())
            except httputil.HTTPInputError:
                # The request has been answered already.
                return

    async def _await_turn(self, data: bytes) -> None:
        cost = read_pacer.read_cost(data, is_chunked=self._decoder is not None)
        if self._is_first:
            # Short requests do not wait for the bodies of others.
            self._is_first = False
            self._pacer.note(cost)
            return
        await self._pacer.admit(cost)
