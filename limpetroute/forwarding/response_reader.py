"""Reads the response to one request that this host has sent."""

import asyncio
import dataclasses
import typing

from tornado import httputil

from limpetroute.routing import send_result
from limpetroute.wire import buffer_budget
from limpetroute.wire import call_failed
from limpetroute.wire import connection

HTTP_OK = 200
HTTP_REDIRECTION = 300
HTTP_SERVER_ERROR = 500
EVENT_STREAM = 'text/event-stream'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SendFailure:
    """A send without a usable response."""

    result: send_result.SendResult
    detail: str


def result_of(failed: call_failed.CallFailed) -> send_result.SendResult:
    """Return the result of a send without a response."""
    if not failed.sent:
        return send_result.SendResult.NOT_SENT
    if failed.kind is call_failed.FailureKind.TIMEOUT:
        return send_result.SendResult.TIMED_OUT
    return send_result.SendResult.BROKEN


class ResponseReader:
    """Reads the response to one request that this host has sent.

    Parameters
    ----------
    link : Connection
        The connection that carries the request.
    """

    def __init__(self, *, link: connection.Connection) -> None:
        self._link = link

    @property
    def status(self) -> int:
        """Status of the response."""
        return self._link.status

    @property
    def headers(self) -> httputil.HTTPHeaders:
        """Headers of the response."""
        return self._link.headers

    @property
    def framing(self) -> connection.Framing:
        """What marks the end of the response's body."""
        return self._link.framing

    @property
    def is_event_stream(self) -> bool:
        """Whether the body of the response consists of events.

        A successful response to a stream's request without a media type
        counts as one.
        """
        media_type = self.headers.get('Content-Type', EVENT_STREAM)
        is_success = HTTP_OK <= self.status < HTTP_REDIRECTION
        return is_success and media_type.strip().lower().startswith(
            EVENT_STREAM
        )

    @property
    def is_complete(self) -> bool:
        """Whether the response arrived completely."""
        return self._link.whole

    def chunks(self, idle_timeout_s: float) -> typing.AsyncIterator[bytes]:
        """Yield the chunks of the body; see `Connection.chunks`."""
        return self._link.chunks(idle_timeout_s=idle_timeout_s)

    async def read(
        self, timeout_s: float, lease: buffer_budget.BufferLease
    ) -> bytes | SendFailure:
        """Read the whole body, as far as there is memory for it."""
        chunks = []
        try:
            async with asyncio.timeout(timeout_s):
                async for chunk in self.chunks(timeout_s):
                    if not lease.take(len(chunk)):
                        self.close()
                        return SendFailure(
                            result=send_result.SendResult.BROKEN,
                            detail=f'no memory after {lease.used_bytes} bytes',
                        )
                    chunks.append(chunk)
        except TimeoutError:
            return SendFailure(
                result=send_result.SendResult.TIMED_OUT, detail='in the body'
            )
        if not self.is_complete:
            return SendFailure(
                result=send_result.SendResult.BROKEN, detail='in the body'
            )
        return b''.join(chunks)

    def close(self) -> None:
        """Close the connection; the other side then cancels the request."""
        self._link.close()
