"""Writes one answer to one caller."""

import asyncio
import socket
import struct
import typing

from tornado import http1connection
from tornado import httputil
from tornado import iostream

# A caller that reads nothing for this long counts as gone. Its connection
# may be dead, and the open answer occupies memory of a runner.
WRITE_TIMEOUT_S = 10.0
HTTP_1_1 = 'HTTP/1.1'
# A body of at least this size is written by itself. With the headers, it
# would be copied.
LARGE_BODY_BYTES = 1 << 16
# On, with no time to linger: closing the socket resets the connection.
NO_LINGER = struct.pack('ii', 1, 0)


class CallerGoneError(Exception):
    """The caller has closed its connection or has stopped reading."""


class Responder:
    """Writes one answer to one caller.

    Parameters
    ----------
    connection : HTTP1Connection
        The caller's connection.
    closing : callable
        Returns whether the connection is to close after this answer.
    version : str
        HTTP version of the request. Before HTTP/1.1, callers do not
        understand chunks.
    request_read : Event or None
        Set when the request has been read to its end, if the answer starts
        before that. Closing the connection earlier would reset it, and the
        caller might lose the answer.
    """

    def __init__(
        self,
        *,
        connection: http1connection.HTTP1Connection,
        closing: typing.Callable[[], bool],
        version: str = HTTP_1_1,
        request_read: asyncio.Event | None = None,
    ) -> None:
        self._request_read = request_read
        self._connection = connection
        self._version = version
        self._ends_with_connection = False
        self._should_close = closing
        self._closes_connection = False
        self.gone = asyncio.Event()
        self.started = False
        self.finished = False
        # Called once the answer is complete. From then on, the connection
        # belongs to the caller's next request.
        self.on_complete: typing.Callable[[], None] | None = None

    def __repr__(self) -> str:
        return (
            f'{type(self).__name__}(started={self.started!r}, '
            f'finished={self.finished!r})'
        )

    async def start(
        self, status: int, headers: httputil.HTTPHeaders, body: bytes = b''
    ) -> None:
        """Write the status line, the headers and the first bytes."""
        self.started = True
        self._ends_with_connection = (
            self._version != HTTP_1_1 and 'Content-Length' not in headers
        )
        self._closes_connection = (
            self._ends_with_connection or self._should_close()
        )
        if self._closes_connection:
            headers['Connection'] = 'close'
        line = httputil.ResponseStartLine(
            'HTTP/1.1', status, httputil.responses.get(status, 'Unknown')
        )
        if len(body) < LARGE_BODY_BYTES:
            await self._flush(
                lambda: self._connection.write_headers(
                    line, headers, body or None
                )
            )
            return
        await self._flush(
            lambda: self._connection.write_headers(line, headers)
        )
        await self.write(body)

    async def write(self, data: bytes) -> None:
        """Write a chunk of the body and wait until it is flushed."""
        await self._flush(lambda: self._connection.write(data))

    async def finish(self) -> None:
        """End a complete answer."""
        self.finished = True
        if self.on_complete is not None:
            self.on_complete()
        if self._request_read is not None:
            await self._request_read.wait()
        try:
            self._connection.finish()
        except (iostream.StreamClosedError, httputil.HTTPOutputError) as exc:
            raise CallerGoneError(str(exc)) from exc
        if self._closes_connection:
            await self._close_after_flush()

    def abort(self) -> None:
        """Close the connection so that the answer cannot look complete.

        Without effect on an answer that is complete.
        """
        if self.finished:
            return
        self.finished = True
        stream = self._connection.stream
        if self._ends_with_connection and not stream.closed():
            stream.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER
            )
        self._connection.close()

    async def write_whole(
        self, status: int, headers: httputil.HTTPHeaders, body: bytes
    ) -> None:
        """Write a complete answer."""
        headers['Content-Length'] = str(len(body))
        await self.start(status, headers, body)
        await self.finish()

    async def _flush(
        self, write: typing.Callable[[], 'asyncio.Future[None]']
    ) -> None:
        try:
            async with asyncio.timeout(WRITE_TIMEOUT_S):
                await write()
        except (TimeoutError, iostream.StreamClosedError) as exc:
            self.gone.set()
            raise CallerGoneError(str(exc)) from exc

    async def _close_after_flush(self) -> None:
        """Close the connection after the answer's last bytes are flushed."""
        stream = self._connection.stream
        if stream is None or stream.closed():
            return
        try:
            await self._flush(lambda: stream.write(b''))
        finally:
            self._connection.close()
