"""Collects the body of one request, as far as there is memory for it."""

from limpetroute.wire import buffer_budget
from limpetroute.wire import chunked_body

# Smaller pieces are joined, as each object takes memory of its own.
MIN_PIECE_BYTES = 4096
MIN_JOINED_BYTES = 16384


class BodyBuffer:
    """Collects the body of one request, as far as there is memory for it.

    Parameters
    ----------
    lease : BufferLease
        The memory that the body uses.
    """

    __slots__ = ('_chunks', '_last', '_lease')

    def __init__(self, *, lease: buffer_budget.BufferLease) -> None:
        self._lease = lease
        self._chunks: list[bytes] = []
        self._last = bytearray()

    def __repr__(self) -> str:
        return f'{type(self).__name__}(lease={self._lease!r})'

    def may_fit(self, size: int) -> bool:
        """Return whether there is memory for a body of this size now."""
        return self._lease.make_room(size)

    def append(self, data: bytes) -> bool:
        """Add data; return False if there is no memory for it."""
        if not self._lease.take(len(data)):
            return False
        if len(data) >= MIN_PIECE_BYTES:
            self._end_chunk()
            self._chunks.append(data)
            return True
        self._last += data
        if len(self._last) >= MIN_JOINED_BYTES:
            self._end_chunk()
        return True

    def take(self) -> bytes | chunked_body.ChunkedBody:
        """Return the body and forget it; its memory stays in use."""
        self._end_chunk()
        chunks, self._chunks = self._chunks, []
        if len(chunks) > 1:
            return chunked_body.ChunkedBody(chunks=chunks)
        return chunks[0] if chunks else b''

    def release(self) -> None:
        """Forget the body and return its memory."""
        self._chunks.clear()
        self._last.clear()
        self._lease.release()

    def _end_chunk(self) -> None:
        if self._last:
            self._chunks.append(bytes(self._last))
            self._last.clear()
