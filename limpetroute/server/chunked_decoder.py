"""Decodes bodies in chunked transfer coding."""

# Longest line with the size of a chunk.
MAX_LINE_BYTES = 64
LINE_END = b'\r\n'
HEX_DIGITS = b'0123456789abcdefABCDEF'


class ChunkedFramingError(ValueError):
    """A body that is not in chunked transfer coding."""


class ChunkedDecoder:
    """Decodes the chunked transfer coding of one body.

    Chunk extensions and trailers are rejected: recipients differ in how they
    read them, which may hide a second request in a body.
    """

    __slots__ = ('_expects_end', '_is_last', '_left_bytes', '_rest')

    def __init__(self) -> None:
        self._rest = b''
        self._left_bytes = 0
        # Whether the line end after the data of a chunk is due.
        self._expects_end = False
        self._is_last = False

    def __repr__(self) -> str:
        return f'{type(self).__name__}(left_bytes={self._left_bytes!r})'

    @property
    def is_complete(self) -> bool:
        """Whether the whole body has been decoded."""
        return self._is_last and not self._expects_end

    @property
    def left_bytes(self) -> int:
        """Bytes of the current chunk that are still to come."""
        return self._left_bytes

    @property
    def rest(self) -> bytes:
        """Bytes that have been fed and not decoded."""
        return self._rest

    def feed(self, data: bytes) -> bytes:
        """Decode data and return the bytes of the body.

        Raises
        ------
        ChunkedFramingError
            If the data is not in chunked transfer coding.
        """
        if self._rest:
            data = self._rest + data
        position = 0
        size = len(data)
        found: list[bytes] = []
        while not self.is_complete:
            if self._left_bytes:
                end = min(size, position + self._left_bytes)
                if end == position:
                    break
                found.append(data[position:end])
                self._left_bytes -= end - position
                position = end
            elif self._expects_end:
                line_end = data[position : position + 2]
                if line_end != LINE_END:
                    if LINE_END.startswith(line_end):
                        break
                    raise ChunkedFramingError('no line end after a chunk')
                self._expects_end = False
                position += 2
            else:
                end = data.find(LINE_END, position, position + MAX_LINE_BYTES)
                if end < 0:
                    if size - position >= MAX_LINE_BYTES:
                        raise ChunkedFramingError('the line is too long')
                    break
                line = data[position:end]
                if not line or line.strip(HEX_DIGITS):
                    raise ChunkedFramingError('the size is not a number')
                self._left_bytes = int(line, 16)
                self._is_last = not self._left_bytes
                self._expects_end = True
                position = end + 2
        self._rest = data[position:]
        return b''.join(found)
