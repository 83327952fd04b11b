"""Relays a stream's events to its caller, each one complete and once."""

import asyncio
import logging
import typing

from limpetroute.forwarding import caller_request
from limpetroute.forwarding import event_splitter
from limpetroute.forwarding import forward_context
from limpetroute.forwarding import responder as responder_module
from limpetroute.forwarding import response_reader
from limpetroute.routing import route as route_module
from limpetroute.routing import send_result
from limpetroute.wire import connection

LOG = logging.getLogger(__name__)

# Time without data after which another runner is searched for a resumable
# stream. It is longer than the gap in a preempted stream (about 0.5 s) and
# shorter than the 2 s after which callers give up.
SILENCE_TIMEOUT_S = 1.0
POLL_INTERVAL_S = 0.02
# A runner that sends more without the end of an event is broken.
MAX_EVENT_BYTES = 1 << 20


class EndlessEventError(Exception):
    """A runner sends an event that does not end."""


class RunnerSearch(typing.Protocol):
    """Searches another runner while a stream's runner is silent."""

    @property
    def is_sending(self) -> bool:
        """Whether it waits for the answer of another runner."""

    async def find(self) -> bool:
        """Open the stream at another runner; return whether to go on there.

        False means that the stream has to stay at its runner. The search is
        cancelled if that runner goes on.
        """

    def discard(self) -> None:
        """Drop what `find` has opened."""


class StreamRelay:
    """Relays a stream's events to its caller, each one complete and once.

    One relay serves a request over all its runners: when a runner breaks
    off, the next runner resumes after the last complete event.

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
    """

    def __init__(
        self,
        *,
        context: forward_context.ForwardContext,
        request: caller_request.CallerRequest,
        route: route_module.Route,
        responder: responder_module.Responder,
    ) -> None:
        self._context = context
        self._request = request
        self._route = route
        self._responder = responder
        self._events = event_splitter.EventSplitter()
        self._first_event_s = 0.0
        self._decode_s = 0.0
        self._longest_gap_s = 0.0
        self._partial_bytes = 0
        self._on_first_event: typing.Callable[[], None] | None = None

    def __repr__(self) -> str:
        return f'{type(self).__name__}(request={self._request.request_id!r})'

    @property
    def event_count(self) -> int:
        """Number of relayed events."""
        return self._events.count

    @property
    def last_id(self) -> str:
        """Identity of the last relayed event; empty if there is none."""
        return self._events.last_id

    @property
    def partial_bytes(self) -> int:
        """Size of the incomplete event at which the last runner ended."""
        return self._partial_bytes

    @property
    def decode_s(self) -> float:
        """Time from the first event to the last event, in seconds."""
        return self._decode_s

    @property
    def longest_gap_ms(self) -> int:
        """Longest time between two events, in milliseconds."""
        return round(self._longest_gap_s * 1000)

    @property
    def first_event_ms(self) -> int | None:
        """Time from the request to its first event, in milliseconds.

        None before the first event.
        """
        if not self._first_event_s:
            return None
        return round((self._first_event_s - self._request.received_s) * 1000)

    @property
    def waited_s(self) -> float:
        """Time since the caller's last event, or its request, in seconds."""
        since_s = self._first_event_s + self._decode_s
        return _now_s() - (since_s or self._request.received_s)

    async def run(
        self,
        call: response_reader.ResponseReader,
        *,
        search: RunnerSearch | None = None,
        on_first_event: typing.Callable[[], None] | None = None,
    ) -> send_result.SendResult:
        """Relay complete events as they arrive; return the result.

        A runner may be silent for a second and then go on: it may be full
        and preempt the stream, or be stopped for a moment. So a silent
        runner is left only for another one that has taken the stream.

        Parameters
        ----------
        call : RunnerCall
            The open call to the runner.
        search : RunnerSearch or None
            Searches another runner while this one is silent; None if no
            other send is allowed.
        on_first_event : callable or None
            Called at the first event of this runner.
        """
        self._on_first_event = on_first_event
        responder = self._responder
        try:
            has_ended = await self._relay_events(call, search)
        except EndlessEventError:
            call.close()
            self._end_runner()
            return send_result.SendResult.BROKEN
        except TimeoutError:
            has_ended = False
        if not has_ended:
            self._end_runner()
            return send_result.SendResult.TIMED_OUT
        if self._is_broken(call):
            self._end_runner()
            return send_result.SendResult.BROKEN
        self._partial_bytes = self._events.partial_bytes
        remainder = self._events.take_remainder()
        if remainder or not responder.started:
            await self._write(call, remainder)
        await responder.finish()
        self._context.count(self._route, call.status, self._request)
        return send_result.SendResult.ANSWERED

    async def _relay_events(
        self,
        call: response_reader.ResponseReader,
        search: RunnerSearch | None,
    ) -> bool:
        """Return whether the answer has ended; False if it goes on elsewhere.

        Raises
        ------
        TimeoutError
            If the time for the answer is over.
        """
        remaining_s = self._context.remaining_s(self._request, self._route)
        idle_s = remaining_s
        if search is not None:
            idle_s = min(idle_s, SILENCE_TIMEOUT_S)
        while True:
            try:
                async for chunk in call.chunks(idle_s):
                    events = self._feed(call, chunk)
                    if events:
                        await self._write(call, events)
                return True
            except TimeoutError:
                self._log_silence(idle_s)
                if search is None:
                    raise
                if await self._moves_on(call, search):
                    return False

    async def _moves_on(
        self, call: response_reader.ResponseReader, search: RunnerSearch
    ) -> bool:
        """Wait for a silent runner or another one, whichever is first.

        Return whether the stream leaves its runner for another one.
        """
        events = asyncio.create_task(self._next_events(call))
        other = asyncio.create_task(search.find())
        try:
            await asyncio.wait(
                {events, other}, return_when=asyncio.FIRST_COMPLETED
            )
            if not events.done() and self._has_found(other):
                return True
            await events
            if not events.result() and self._is_broken(call):
                # The route may not allow a further send.
                await self._wait_for_send(search, other)
                if other.done() and self._has_found(other):
                    return False
        finally:
            for task in (events, other):
                task.cancel()
            await asyncio.gather(events, other, return_exceptions=True)
        search.discard()
        if events.result():
            await self._write(call, events.result())
        return False

    async def _wait_for_send(
        self, search: RunnerSearch, found: 'asyncio.Task[bool]'
    ) -> None:
        """Wait until a search has no open send, or has ended."""
        while search.is_sending and not found.done():
            await asyncio.wait({found}, timeout=POLL_INTERVAL_S)

    def _has_found(self, search: 'asyncio.Task[bool]') -> bool:
        exc = search.exception()
        if exc is None:
            return search.result()
        LOG.error(
            'unexpected error in the search for another runner',
            extra={'request': self._request.request_id},
            exc_info=exc,
        )
        return False

    async def _next_events(
        self, call: response_reader.ResponseReader
    ) -> bytes:
        """Return the next complete events; none at the end of the answer."""
        idle_s = self._context.remaining_s(self._request, self._route)
        async for chunk in call.chunks(idle_s):
            events = self._feed(call, chunk)
            if events:
                return events
        return b''

    def _feed(
        self, call: response_reader.ResponseReader, chunk: bytes
    ) -> bytes:
        """Return the events that are complete with this chunk."""
        events = self._events.feed(chunk)
        max_bytes = MAX_EVENT_BYTES
        if not call.is_event_stream:
            max_bytes = forward_context.MAX_ANSWER_BYTES
        if self._events.partial_bytes > max_bytes:
            raise EndlessEventError
        return events

    def _is_broken(self, call: response_reader.ResponseReader) -> bool:
        """Return whether an answer that has ended is incomplete."""
        return not call.is_complete or self._is_cut_short(call)

    def _is_cut_short(self, call: response_reader.ResponseReader) -> bool:
        """Return whether events are missing from an answer that has ended.

        The connection of a crashed runner may be closed without an error. An
        answer without a length or chunks then ends like a complete one.
        """
        if not call.is_event_stream:
            return False
        if self._events.is_inside_event:
            return True
        # Nothing may be left of a stream that is resumed.
        return (
            call.framing is connection.Framing.CLOSE
            and not self.event_count
            and not self._request.resume_after
        )

    def _log_silence(self, idle_s: float) -> None:
        LOG.info(
            'runner is silent',
            extra={
                'request': self._request.request_id,
                'idle_ms': round(idle_s * 1000),
                'events': self.event_count,
            },
        )

    def _end_runner(self) -> None:
        """Discard the incomplete event of a runner that ended."""
        self._partial_bytes = self._events.partial_bytes
        self._events.discard_partial()

    async def _write(
        self, call: response_reader.ResponseReader, events: bytes
    ) -> None:
        responder = self._responder
        now_s = _now_s()
        if self._on_first_event is not None:
            self._on_first_event()
            self._on_first_event = None
        self._first_event_s = self._first_event_s or now_s
        before_s = self._first_event_s + self._decode_s
        self._longest_gap_s = max(self._longest_gap_s, now_s - before_s)
        self._decode_s = now_s - self._first_event_s
        if responder.started:
            await responder.write(events)
            return
        context = self._context
        context.meters.first_event(now_s - self._request.received_s)
        headers = context.dialect.caller_headers(call.headers)
        headers.pop('Content-Length', None)
        await responder.start(call.status, headers, events)


def _now_s() -> float:
    return asyncio.get_running_loop().time()
