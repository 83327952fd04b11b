"""Takes a caller's body with bounds on its size and time."""

import asyncio
import typing

import tornado.web

from limpetroute.entry.callers import base_handler
from limpetroute.entry.hosting import host as host_module

DISCARD_FACTOR = 4


@tornado.web.stream_request_body
class BodyHandler(base_handler.BaseHandler):
    """Collects a body of at most ``max_body_bytes``.

    A body past the limit is read and dropped up to a few times the
    limit before the answer goes out: closing a connection with unread
    data resets it, and the caller would see a broken connection in
    place of the 413.
    """

    def initialize(self, host: host_module.Host) -> None:
        """Take the shared state, and expect a body."""
        super().initialize(host)
        self._parts: list[bytes] = []
        self._size_bytes = 0
        self._slow: asyncio.TimerHandle | None = None

    @property
    def body(self) -> bytes:
        """The whole body."""
        return b''.join(self._parts)

    @property
    def _limit_bytes(self) -> int:
        return self.host.settings.max_body_bytes

    def prepare(self) -> None:
        """Check headers and set the time limit."""
        super().prepare()
        if self._finished:
            return
        length = self.request.headers.get('Content-Length', '0')
        if length.isdigit() and int(length) > (
            DISCARD_FACTOR * self._limit_bytes
        ):
            self._fail_too_large()
            return
        loop = asyncio.get_running_loop()
        self._slow = loop.call_later(
            self.host.settings.body_timeout_s, self._fail_slow
        )

    def data_received(self, chunk: bytes) -> typing.Awaitable[None] | None:
        """Keep a chunk, or drop it past the limit."""
        if self._finished:
            return None
        self._size_bytes += len(chunk)
        if self._size_bytes <= self._limit_bytes:
            self._parts.append(chunk)
            return None
        self._parts.clear()
        if self._size_bytes > DISCARD_FACTOR * self._limit_bytes:
            self._fail_too_large()
        return None

    def body_is_whole(self) -> bool:
        """End the time limit; answer 413 for a body that is too large."""
        self._stop_clock()
        if self._finished:
            return False
        if self._size_bytes > self._limit_bytes:
            self._fail_too_large()
            return False
        return True

    def on_connection_close(self) -> None:
        """End the time limit."""
        self._stop_clock()
        super().on_connection_close()

    def on_finish(self) -> None:
        """End the time limit and drop the body."""
        super().on_finish()
        self._stop_clock()
        self._parts.clear()

    def _stop_clock(self) -> None:
        if self._slow is not None:
            self._slow.cancel()
            self._slow = None

    def _fail_slow(self) -> None:
        self._slow = None
        if self._finished:
            return
        self.fail(
            408,
            f'no whole body in {self.host.settings.body_timeout_s} s',
            code='body_timeout',
        )

    def _fail_too_large(self) -> None:
        self.fail(
            413,
            f'the body is over {self._limit_bytes} bytes',
            code='body_too_large',
        )
