"""Streams that report what they read and write."""

import asyncio
import typing

from tornado import iostream

from limpetroute.wire import untraced_stream

# Also the most that a stream reads ahead in a body.
READ_BYTES = 1 << 14
# Data that the client has taken are released in parts of this size.
WRITE_BYTES = 1 << 16


class StreamOwner(typing.Protocol):
    """The connection of a stream."""

    def note_read(self, count: int) -> None:
        """Record that bytes have arrived."""

    def note_written(self, count: int) -> None:
        """Record that the client has taken bytes."""

    def take_unsent(self, count: int) -> bool:
        """Reserve memory for bytes of an answer; False if there is none."""

    def note_closed(self) -> None:
        """Record that the stream is closed."""


class _Reporting(untraced_stream.UntracedStream):
    owner: StreamOwner | None = None
    _pushed_back = b''

    def push_back(self, data: bytes) -> None:
        """Have the next read return these bytes first."""
        self._pushed_back = data

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        if self._pushed_back:
            count = min(len(buf), len(self._pushed_back))
            buf[:count] = self._pushed_back[:count]
            self._pushed_back = self._pushed_back[count:]
            return count
        found = super().read_from_fd(buf)
        if found and self.owner is not None:
            self.owner.note_read(found)
        return found

    def write_to_fd(self, data: memoryview) -> int:
        count = super().write_to_fd(data)
        if count and self.owner is not None:
            self.owner.note_written(count)
        return count

    def write(self, data: bytes | memoryview) -> typing.Any:
        if self.owner is None or self.closed():
            return super().write(data)
        if self.owner.take_unsent(len(data)) and not self.closed():
            return self._write_parts(data)
        # The answer is cut off, so that it cannot look complete.
        self.close()
        future = asyncio.get_running_loop().create_future()
        future.set_exception(iostream.StreamClosedError())
        future.exception()
        return future

    def _write_parts(self, data: bytes | memoryview) -> typing.Any:
        """Write data whose memory is released while the client takes them.

        Tornado keeps all data of one write until the last byte is sent.
        """
        if len(data) <= WRITE_BYTES:
            return super().write(data)
        future = None
        with memoryview(data) as view:
            for start in range(0, len(view), WRITE_BYTES):
                part = bytes(view[start : start + WRITE_BYTES])
                future = super().write(part)
                if self.closed():
                    break
        return future

    def close_fd(self) -> None:
        super().close_fd()
        if self.owner is not None:
            self.owner.note_closed()


class BoundedStream(_Reporting, iostream.IOStream):
    """A TCP connection that reports what it reads and writes."""


class BoundedTlsStream(_Reporting, iostream.SSLIOStream):
    """A TLS connection that reports what it reads and writes."""
