"""Receives request bodies with limits on their size and duration."""

import asyncio
import typing

import tornado.web

from limpetroute.entry.callers import base_handler
from limpetroute.entry.hosting import host as host_module

DISCARD_FACTOR = 4


@tornado.web.stream_request_body
class BodyHandler(base_handler.BaseHandler):
    """Collects a body of at most ``max_body_bytes``.

    A larger body is read and discarded, up to ``DISCARD_FACTOR`` times
    the limit, before the answer is sent: closing a connection with
    unread data resets it, and the caller would see a broken connection
    instead of the 413.
    """

    def initialize(self, host: host_module.Host) -> None:
        """Keep the shared state, and start with an empty body."""
        super().initialize(host)
        self._chunks: list[bytes] = []
        self._size_bytes = 0
        self._timer: asyncio.TimerHandle | None = None

    @property
    def body(self) -> bytes:
        """The whole body."""
        return b''.join(self._chunks)

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
        self._timer = loop.call_later(
            self.host.settings.body_timeout_s, self._fail_timeout
        )

    def data_received(self, chunk: bytes) -> typing.Awaitable[None] | None:
        """Keep a chunk, or discard the body if it exceeds the limit."""
        if self._finished:
            return None
        self._size_bytes += len(chunk)
        if self._size_bytes <= self._limit_bytes:
            self._chunks.append(chunk)
            return None
        self._chunks.clear()
        if self._size_bytes > DISCARD_FACTOR * self._limit_bytes:
            self._fail_too_large()
        return None

    def body_is_whole(self) -> bool:
        """Whether the body is complete; answer 413 if it is too large.

        This ends the body's time limit.
        """
        self._cancel_timer()
        if self._finished:
            return False
        if self._size_bytes > self._limit_bytes:
            self._fail_too_large()
            return False
        return True

    def on_connection_close(self) -> None:
        """Cancel the timer of the body and discard what has arrived."""
        self._cancel_timer()
        self._chunks.clear()
        super().on_connection_close()

    def on_finish(self) -> None:
        """Cancel the timer and discard the body."""
        super().on_finish()
        self._cancel_timer()
        self._chunks.clear()

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _fail_timeout(self) -> None:
        self._timer = None
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
