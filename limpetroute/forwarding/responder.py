"""Writes one answer to one caller."""

import asyncio
import typing

from tornado import http1connection
from tornado import httputil
from tornado import iostream

# A caller that reads nothing for this long is taken for gone: its link
# may be silent for good, and the answer would hold a runner's memory.
WRITE_TIMEOUT_S = 10.0


class CallerGoneError(Exception):
    """The caller has closed its connection, or reads nothing."""


class Responder:
    """Writes one answer to one caller.

    Parameters
    ----------
    connection : HTTP1Connection
        The caller's connection.
    closing : callable
        Returns whether the connection is to close after this answer.
    """

    def __init__(
        self,
        *,
        connection: http1connection.HTTP1Connection,
        closing: typing.Callable[[], bool],
    ) -> None:
        self._connection = connection
        self._closing = closing
        self._closes = False
        self.gone = asyncio.Event()
        self.started = False
        self.finished = False

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
        self._closes = self._closing()
        if self._closes:
            headers['Connection'] = 'close'
        line = httputil.ResponseStartLine(
            'HTTP/1.1', status, httputil.responses.get(status, 'Unknown')
        )
        await self._flushed(
            lambda: self._connection.write_headers(line, headers, body or None)
        )

    async def write(self, data: bytes) -> None:
        """Write a part of the body; returns once it may be followed."""
        await self._flushed(lambda: self._connection.write(data))

    async def finish(self) -> None:
        """End the answer as complete."""
        self.finished = True
        try:
            self._connection.finish()
        except (iostream.StreamClosedError, httputil.HTTPOutputError) as exc:
            raise CallerGoneError(str(exc)) from exc
        if self._closes:
            await self._close_flushed()

    def abort(self) -> None:
        """Break the answer off so that it cannot look complete."""
        self.finished = True
        self._connection.close()

    async def write_whole(
        self, status: int, headers: httputil.HTTPHeaders, body: bytes
    ) -> None:
        """Write an answer at once."""
        headers['Content-Length'] = str(len(body))
        await self.start(status, headers, body)
        await self.finish()

    async def _flushed(
        self, write: typing.Callable[[], 'asyncio.Future[None]']
    ) -> None:
        try:
            async with asyncio.timeout(WRITE_TIMEOUT_S):
                await write()
        except (TimeoutError, iostream.StreamClosedError) as exc:
            self.gone.set()
            raise CallerGoneError(str(exc)) from exc

    async def _close_flushed(self) -> None:
        """Close once the answer's last bytes have left."""
        stream = self._connection.stream
        if stream is None or stream.closed():
            return
        try:
            await self._flushed(lambda: stream.write(b''))
        finally:
            self._connection.close()
