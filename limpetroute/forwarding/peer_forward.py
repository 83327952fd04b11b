"""Passes one request to another entry host and relays its answer."""

import asyncio
import dataclasses
import logging

from limpetroute.forwarding import caller_request
from limpetroute.forwarding import forward_context
from limpetroute.forwarding import local_reply
from limpetroute.forwarding import peer_call
from limpetroute.forwarding import responder as responder_module
from limpetroute.forwarding import response_reader
from limpetroute.forwarding import stream_relay
from limpetroute.routing import next_step
from limpetroute.routing import peer_directory
from limpetroute.routing import route as route_module
from limpetroute.routing import send_result

LOG = logging.getLogger(__name__)

# Hosts that may decline a request. Most hosts of a fleet may be cut off from
# runners at the same time.
MAX_HOSTS = 4
# Time after which no further host is asked, as the caller can be served
# elsewhere. Hosts that decline do so within milliseconds.
MAX_SEARCH_S = 0.4
# Tell a caller that its request has not run and will not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


NO_HOST = response_reader.SendFailure(
    result=send_result.SendResult.WITHHELD, detail='no other host'
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Opened:
    """A request that was passed to a host."""

    host: peer_directory.PeerHost
    call: peer_call.PeerCall
    started_s: float


class PeerForward:
    """Passes one request to another entry host and relays its answer.

    Only for a request that may still be sent. The other host treats it like
    a request of its own caller, which resumes a stream that has begun.

    Parameters
    ----------
    context : ForwardContext
        Shared state of the forwarder.
    request : CallerRequest
        The caller's request.
    route : Route
        Its route.
    responder : Responder
        Writes the answer.
    relay : StreamRelay or None
        Has relayed the events so far; None for a plain request.
    may_have_run : bool
        Whether a runner may have run the request before.
    version : str or None
        Software version that began a stream; None if unknown.
    """

    def __init__(
        self,
        *,
        context: forward_context.ForwardContext,
        request: caller_request.CallerRequest,
        route: route_module.Route,
        responder: responder_module.Responder,
        relay: stream_relay.StreamRelay | None,
        may_have_run: bool,
        version: str | None = None,
    ) -> None:
        self._context = context
        self._request = request
        self._route = route
        self._responder = responder
        self._stream_relay = relay
        self._may_have_run = may_have_run
        self._version = version
        self._opened: _Opened | None = None

    def __repr__(self) -> str:
        return f'{type(self).__name__}(request={self._request.request_id!r})'

    async def run(self) -> bool:
        """Answer the request; return False if no host takes it.

        Then no host has done anything with it.
        """
        failed = None
        if self._opened is None:
            failed = await self.open()
        if self._opened is not None:
            try:
                failed = await self._relay(self._opened.call)
                self._log(self._opened, failed)
            finally:
                self.close()
        if failed is None:
            return True
        if failed.result.is_known_not_run:
            return False
        await self._reply_failed(failed.result)
        return True

    async def open(self) -> response_reader.SendFailure | None:
        """Pass the request to a host that takes it, before `run`.

        Returns None once a host answers, and the last failure otherwise.
        """
        tried: set[str] = set()
        search_until_s = _now_s() + MAX_SEARCH_S
        failed: response_reader.SendFailure | None = NO_HOST
        while len(tried) < MAX_HOSTS and _now_s() < search_until_s:
            host = self._context.peers.choose(tried)
            if host is None:
                return failed
            tried.add(host.host_id)
            failed = await self._open_at(host)
            if failed is None or not failed.result.is_known_not_run:
                return failed
        return failed

    def close(self) -> None:
        """Close the connection; the other host then cancels the request."""
        opened, self._opened = self._opened, None
        if opened is not None:
            opened.call.close()
            self._context.peers.directory.end(opened.host.host_id)

    async def _open_at(
        self, host: peer_directory.PeerHost
    ) -> response_reader.SendFailure | None:
        context = self._context
        remaining_s = context.remaining_s(self._request, self._route)
        opened = _Opened(
            host=host, call=context.peers.new_call(host), started_s=_now_s()
        )
        self._opened = opened
        context.peers.directory.begin(host.host_id)
        try:
            failed = await opened.call.open(
                self._request,
                headers=context.peers.headers(
                    self._request,
                    remaining_s,
                    self._last_event_id,
                    self._version,
                ),
                timeout_s=remaining_s,
            )
        except BaseException:
            self.close()
            raise
        context.peers.note_result(host, failed)
        if failed is not None:
            self._log(opened, failed)
            self.close()
        return failed

    def _log(
        self, opened: '_Opened', failed: response_reader.SendFailure | None
    ) -> None:
        result = send_result.SendResult.ANSWERED
        if failed is not None:
            result = failed.result
        status = opened.call.status
        self._context.meters.sent('peer', result.value)
        LOG.info(
            'passed to another entry host',
            extra={
                'request': self._request.request_id,
                'host': opened.host.host_id,
                'result': result.value,
                'detail': failed.detail if failed else f'status {status}',
                'took_ms': round((_now_s() - opened.started_s) * 1000),
            },
        )

    async def _relay(
        self, call: peer_call.PeerCall
    ) -> response_reader.SendFailure | None:
        """Relay the other host's answer; return why it is incomplete."""
        context = self._context
        if self._stream_relay is not None and call.is_event_stream:
            return await self._relay_stream(call, self._stream_relay)
        if self._responder.started or (
            self._may_have_run and call.status in NOT_RUN_STATUSES
        ):
            # The other host did not run it again, but it may have run before.
            return response_reader.SendFailure(
                result=send_result.SendResult.BROKEN,
                detail=f'status {call.status}',
            )
        with context.answer_buffers.lease() as lease:
            body = await call.read(
                context.remaining_s(self._request, self._route), lease
            )
            if isinstance(body, response_reader.SendFailure):
                return body
            await self._responder.write_whole(
                call.status, context.dialect.caller_headers(call.headers), body
            )
        context.count(self._route, call.status, self._request)
        return None

    @property
    def _last_event_id(self) -> str:
        """Last event that the caller has; empty if it has none from here."""
        return self._stream_relay.last_id if self._stream_relay else ''

    async def _relay_stream(
        self, call: peer_call.PeerCall, relay: stream_relay.StreamRelay
    ) -> response_reader.SendFailure | None:
        result = await relay.run(call)
        if result is send_result.SendResult.ANSWERED:
            return None
        return response_reader.SendFailure(
            result=result, detail=f'after {relay.event_count} events'
        )

    async def _reply_failed(self, result: send_result.SendResult) -> None:
        """Answer a request that may have run, or cut its answer off."""
        step = next_step.Step.FAIL
        if result is send_result.SendResult.TIMED_OUT:
            step = next_step.Step.EXPIRE
        await local_reply.write(
            self._context,
            request=self._request,
            route=self._route,
            responder=self._responder,
            step=step,
            reason='another entry host failed',
        )


def _now_s() -> float:
    return asyncio.get_running_loop().time()
