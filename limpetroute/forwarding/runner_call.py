"""One request sent to one runner."""

import asyncio
import dataclasses
import typing

from tornado import httputil

from limpetroute.forwarding import caller_request
from limpetroute.forwarding import dialect as dialect_module
from limpetroute.forwarding import response_monitor
from limpetroute.routing import runner_info
from limpetroute.routing import send_result
from limpetroute.wire import call_failed
from limpetroute.wire import connection

# A connect takes a few milliseconds, and some tens on a slow host. On
# links that lose 3 % of the packets, one handshake in fifteen loses a
# packet, so there is a second attempt. A runner that accepts neither
# attempt has left or is unreachable, and nothing has been sent to it.
CONNECT_TRIES_S = (0.1, 0.15)

HTTP_OK = 200
HTTP_REDIRECTION = 300
HTTP_SERVER_ERROR = 500
EVENT_STREAM = 'text/event-stream'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SendFailure:
    """A send without a usable response."""

    result: send_result.SendResult
    detail: str


class RunnerCall:
    """One request sent to one runner; `close` ends it on both sides.

    Parameters
    ----------
    runner : RunnerInfo
        The runner.
    dialect : Dialect
        Formats of requests and responses.
    monitor : ResponseMonitor
        Knows which runners accept requests from this host.
    """

    def __init__(
        self,
        *,
        runner: runner_info.RunnerInfo,
        dialect: dialect_module.Dialect,
        monitor: response_monitor.ResponseMonitor,
    ) -> None:
        self.runner = runner
        self._dialect = dialect
        self._monitor = monitor
        self._link = connection.Connection(host=runner.host, port=runner.port)

    def __repr__(self) -> str:
        return f'{type(self).__name__}(runner={self.runner.runner_id!r})'

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

    async def connect(self) -> SendFailure | None:
        """Connect before `open` to check that the runner is reachable."""
        failed = await self._link.connect(CONNECT_TRIES_S)
        if failed is None:
            return None
        return SendFailure(result=_result(failed), detail=failed.detail)

    async def open(
        self,
        request: caller_request.CallerRequest,
        options: dialect_module.SendOptions,
    ) -> SendFailure | None:
        """Send the request and wait for the headers of the response.

        Returns None if the response is usable. A runner that asked this
        host to back off, or that is leaving, gets no request. Other
        requests may have learned so while this one was queued.
        """
        if not self._monitor.accepts(self.runner):
            return SendFailure(
                result=send_result.SendResult.WITHHELD,
                detail='the runner accepts no requests from this host',
            )
        failed = await self._link.send(
            method=request.method,
            path=request.target,
            headers=self._dialect.runner_headers(request, options),
            body=request.body,
            timeout_s=max(options.remaining_s, 0.001),
            connect_tries_s=CONNECT_TRIES_S,
        )
        if failed is not None:
            return SendFailure(result=_result(failed), detail=failed.detail)
        self._monitor.note_response(self.runner, self.status, self.headers)
        if self._dialect.is_refusal(self.status, self.headers):
            self.close()
            return SendFailure(
                result=self._kind_of_refusal(),
                detail=f'status {self.status}',
            )
        if not self._dialect.belongs_to(request, self.headers):
            # A late second response to another request. Relaying it would
            # send one caller's data to another.
            self.close()
            return SendFailure(
                result=send_result.SendResult.BROKEN,
                detail="another request's response",
            )
        return None

    def _kind_of_refusal(self) -> send_result.SendResult:
        if self._dialect.is_misdirected(self.status):
            return send_result.SendResult.MISDIRECTED
        if self._dialect.backoff_text(self.status, self.headers) is None:
            return send_result.SendResult.REFUSED
        return send_result.SendResult.SHED

    def chunks(self, idle_timeout_s: float) -> typing.AsyncIterator[bytes]:
        """Yield the chunks of the body; see `Connection.chunks`."""
        return self._link.chunks(idle_timeout_s=idle_timeout_s)

    async def read(self, timeout_s: float) -> bytes | SendFailure:
        """Read the whole body."""
        chunks = []
        try:
            async with asyncio.timeout(timeout_s):
                async for chunk in self.chunks(timeout_s):
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
        """Close the connection; the runner then cancels the request."""
        self._link.close()


def _result(failed: call_failed.CallFailed) -> send_result.SendResult:
    if not failed.sent:
        return send_result.SendResult.NOT_SENT
    if failed.kind is call_failed.FailureKind.TIMEOUT:
        return send_result.SendResult.TIMED_OUT
    return send_result.SendResult.BROKEN
