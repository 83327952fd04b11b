"""One request sent to one runner."""

from limpetroute.forwarding import caller_request
from limpetroute.forwarding import dialect as dialect_module
from limpetroute.forwarding import response_monitor
from limpetroute.forwarding import response_reader
from limpetroute.forwarding import runner_connections
from limpetroute.forwarding import runner_links
from limpetroute.routing import runner_info
from limpetroute.routing import send_result
from limpetroute.wire import call_failed
from limpetroute.wire import connection
from limpetroute.wire import drop_reason

# A connect takes a few milliseconds, and some tens on a slow host. On
# links that lose 3 % of the packets, one handshake in fifteen loses a
# packet, so there is a second attempt. A runner that accepts neither
# attempt has left or is unreachable, and nothing has been sent to it.
CONNECT_TRIES_S = (0.1, 0.15)


class RunnerCall(response_reader.ResponseReader):
    """One request sent to one runner; `close` ends it on both sides.

    Parameters
    ----------
    runner : RunnerInfo
        The runner.
    dialect : Dialect
        Formats of requests and responses.
    monitor : ResponseMonitor
        Knows which runners accept requests from this host.
    links : RunnerLinks
        Watches whether this host reaches runners at all.
    connections : RunnerConnections
        Kept connections.
    may_reuse : bool
        Whether the request may be sent on a kept connection, and its own
        be kept.
    is_repeatable : bool
        Whether the request may run more than once.
    """

    def __init__(
        self,
        *,
        runner: runner_info.RunnerInfo,
        dialect: dialect_module.Dialect,
        monitor: response_monitor.ResponseMonitor,
        links: runner_links.RunnerLinks,
        connections: runner_connections.RunnerConnections,
        may_reuse: bool = False,
        is_repeatable: bool = False,
    ) -> None:
        slot = None
        if may_reuse:
            slot = connections.slot(runner, is_repeatable=is_repeatable)
        super().__init__(
            link=connection.Connection(
                host=runner.host,
                port=runner.port,
                slot=slot,
            )
        )
        self._connections = connections
        self._is_repeatable = is_repeatable
        # Whether the response is certain to be that of the request.
        self._is_named = False
        self.runner = runner
        self._links = links
        self._dialect = dialect
        self._monitor = monitor

    def __repr__(self) -> str:
        return f'{type(self).__name__}(runner={self.runner.runner_id!r})'

    async def connect(self) -> response_reader.SendFailure | None:
        """Connect before `open` to check that the runner is reachable."""
        failed = await self._link.connect(CONNECT_TRIES_S)
        self._note_link(failed)
        if failed is None:
            return None
        return response_reader.SendFailure(
            result=response_reader.result_of(failed), detail=failed.detail
        )

    async def open(
        self,
        request: caller_request.CallerRequest,
        options: dialect_module.SendOptions,
    ) -> response_reader.SendFailure | None:
        """Send the request and wait for the headers of the response.

        Returns None if the response is usable. A runner that asked this
        host to back off, or that is leaving, gets no request. Other
        requests may have learned so while this one was queued.
        """
        if not self._monitor.accepts(self.runner):
            return response_reader.SendFailure(
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
        if options.remaining_s > sum(CONNECT_TRIES_S):
            self._note_link(failed)
        if failed is not None:
            self._connections.drop(self.runner, drop_reason.DropReason.FAILED)
            return response_reader.SendFailure(
                result=response_reader.result_of(failed), detail=failed.detail
            )
        self._is_named = self._dialect.is_named(request, self.headers)
        is_refusal = self._dialect.is_refusal(self.status, self.headers)
        if request.request_id and (
            is_refusal or self.status < response_reader.HTTP_SERVER_ERROR
        ):
            self._connections.note_response(
                self.runner, is_refusal=is_refusal, is_named=self._is_named
            )
        if (
            self._link.is_reused
            and not self._is_named
            and not self._may_believe(request, is_refusal=is_refusal)
        ):
            # It may be a late second response to the request before.
            self.close()
            return response_reader.SendFailure(
                result=send_result.SendResult.BROKEN,
                detail="not proved to be this request's response",
            )
        self._monitor.note_response(self.runner, self.status, self.headers)
        if not self._monitor.accepts(self.runner):
            self._connections.drop(self.runner, drop_reason.DropReason.LEFT)
        if is_refusal:
            self.close()
            return response_reader.SendFailure(
                result=self._kind_of_refusal(),
                detail=f'status {self.status}',
            )
        if not self._dialect.belongs_to(request, self.headers):
            # A late second response to another request. Relaying it would
            # send one caller's data to another.
            self.close()
            return response_reader.SendFailure(
                result=send_result.SendResult.BROKEN,
                detail="another request's response",
            )
        return None

    @property
    def is_reused(self) -> bool:
        """Whether the request was sent on a kept connection."""
        return self._link.is_reused

    def release(self) -> None:
        """Keep the connection after a complete response, or close it."""
        if (
            self._is_named
            and self._monitor.accepts(self.runner)
            and self._connections.may_keep(self.runner)
        ):
            self._link.release()
        else:
            self.close()

    def _may_believe(
        self, request: caller_request.CallerRequest, *, is_refusal: bool
    ) -> bool:
        """Return whether to believe a response that names no request.

        A refusal of the request before would let this one run twice, which
        a repeatable request may.
        """
        return (
            is_refusal
            and self._is_repeatable
            and self._dialect.belongs_to(request, self.headers)
        )

    def _note_link(self, failed: call_failed.CallFailed | None) -> None:
        if failed is not None and self._link.is_reused:
            # That the runner accepted the connection was long ago.
            return
        if failed is None or failed.sent:
            self._links.note_connected()
        else:
            self._links.note_failed(self.runner)

    def _kind_of_refusal(self) -> send_result.SendResult:
        if self._dialect.is_misdirected(self.status):
            return send_result.SendResult.MISDIRECTED
        if self._dialect.backoff_text(self.status, self.headers) is None:
            return send_result.SendResult.REFUSED
        return send_result.SendResult.SHED
