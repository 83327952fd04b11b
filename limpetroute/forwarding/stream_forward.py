"""Forwards a request whose answer is a stream of events."""

import asyncio
import functools
import logging

from limpetroute.forwarding import caller_request
from limpetroute.forwarding import dialect as dialect_module
from limpetroute.forwarding import forward_context
from limpetroute.forwarding import local_reply
from limpetroute.forwarding import placement_session
from limpetroute.forwarding import prompt_prefill
from limpetroute.forwarding import quarantine_gate
from limpetroute.forwarding import responder as responder_module
from limpetroute.forwarding import runner_call
from limpetroute.forwarding import stream_relay
from limpetroute.routing import forecast
from limpetroute.routing import next_step
from limpetroute.routing import placement
from limpetroute.routing import reservations
from limpetroute.routing import route as route_module
from limpetroute.routing import runner_info
from limpetroute.routing import send_history
from limpetroute.routing import send_result
from limpetroute.routing import service as service_module

LOG = logging.getLogger(__name__)

# Prefill runners that may fail a prompt before its caller is told to
# come back.
MAX_READINGS = 2


class StreamForward:
    """Forwards a request whose answer is a stream of events.

    Parameters
    ----------
    context : ForwardContext
        What all forwarding shares.
    request : CallerRequest
        The caller's request.
    route : Route
        Its route.
    service : Service
        The service drawn for it.
    responder : Responder
        Writes the answer.
    """

    def __init__(
        self,
        *,
        context: forward_context.ForwardContext,
        request: caller_request.CallerRequest,
        route: route_module.Route,
        service: service_module.Service,
        responder: responder_module.Responder,
    ) -> None:
        self._context = context
        self._request = request
        self._route = route
        self._service = service
        self._responder = responder
        self._relay = stream_relay.StreamRelay(
            context=context,
            request=request,
            route=route,
            responder=responder,
        )
        self._tried: set[str] = set()
        self._failed: set[str] = set()
        self._full: set[str] = set()
        self._history = send_history.SendHistory(route=route)
        self._gate = quarantine_gate.QuarantineGate(
            client=context.quarantine, request=request
        )
        self._readings = 0
        self._failed_readings = 0
        self._sends_to_gone = 0
        self._whole = False

    def __repr__(self) -> str:
        return f'{type(self).__name__}(request={self._request.request_id!r})'

    async def run(self) -> None:
        """Answer the request."""
        if not self._is_taken():
            await self._end(next_step.Step.REFUSE, 'this host stops')
            return
        while True:
            if self._gate.is_closed():
                await self._refuse_quarantined()
                return
            places = placement_session.PlacementSession(
                context=self._context,
                request=self._request,
                route=self._route,
                service=self._service,
            )
            try:
                got = await places.acquire(self._so_far())
                if isinstance(got, placement.Rejection):
                    await self._end(
                        next_step.Step.REFUSE, got.reason, got.retry_after_s
                    )
                    return
                if not await self._gate.may_send():
                    await self._refuse_quarantined()
                    return
                step = await self._send(got, places)
            finally:
                places.release(
                    events_s=self._relay.events_s,
                    tokens=self._tokens_written(),
                    failed=self._failed,
                    full=self._full,
                    whole=self._whole,
                )
                self._note_speed()
                self._failed.clear()
                self._full.clear()
            if step is next_step.Step.RELAY:
                return
            if step is not next_step.Step.RETRY:
                await self._end(step, 'after a send')
                return

    async def _refuse_quarantined(self) -> None:
        await self._end(
            next_step.Step.REFUSE,
            local_reply.QUARANTINED,
            self._gate.retry_after_s,
        )

    def _is_taken(self) -> bool:
        generation = self._request.generation
        assert generation is not None
        return self._context.accepts_stream(self._service, generation)

    def _note_speed(self) -> None:
        events_s = self._relay.events_s
        if self._whole and events_s > reservations.MIN_MEASURED_S:
            self._context.note_speed(
                self._service, self._tokens_written() / events_s
            )

    def _so_far(self) -> placement_session.StreamProgress:
        return placement_session.StreamProgress(
            tried=frozenset(self._tried),
            is_resumed=self._goes_on(),
            written_tokens=self._tokens_written(),
            may_use_prefill_runner=self._may_read_apart(),
            waited_s=self._relay.waited_s,
        )

    def _may_read_apart(self) -> bool:
        """Return whether a prefill runner may read the prompt now.

        The first reading is free. A later one counts as a send, and
        another follows it; sends to runners that are gone do not count.
        """
        if not self._readings:
            return True
        sends = self._history.sends - self._sends_to_gone
        if sends + 2 > self._route.max_sends:
            return False
        return self._context.take_retry(self._service.name)

    def _tokens(self) -> int:
        generation = self._request.generation
        return generation.peak_tokens if generation else 0

    def _tokens_written(self) -> int:
        engine = self._service.engine
        assert engine is not None
        return self._relay.event_count * engine.tokens_per_event

    def _goes_on(self) -> bool:
        """Return whether a part of the answer is there already."""
        return bool(self._request.resume_after or self._relay.last_id)

    async def _send(
        self,
        rooms: placement_session.AssignedRunners,
        places: placement_session.PlacementSession,
    ) -> next_step.Step:
        runner = rooms.decode
        load = self._context.view.load(runner.runner_id)
        load.requests += 1
        load.tokens += self._tokens()
        reading = prompt_prefill.PromptPrefill(
            context=self._context, request=self._request, route=self._route
        )
        call = runner_call.RunnerCall(
            runner=runner, dialect=self._context.dialect
        )
        try:
            source = None
            if rooms.prefill is not None:
                # A prompt read for a decode runner that is dark is read
                # in vain (30 thousand tokens in 2 s while one of three
                # is): it is connected to first.
                failed = await call.connect()
                if failed is not None:
                    return self._after_failed_connect(runner, failed)
                source = await reading.run(rooms.prefill)
                if source is None:
                    return self._after_failed_reading(rooms.prefill)
                self._readings += 1
                places.note_prefill_done()
            return await self._decode(call, source, places, rooms.forecast)
        finally:
            call.close()
            reading.free_unless_taken()
            load.requests -= 1
            load.tokens -= self._tokens()

    def _after_failed_connect(
        self, runner: runner_info.RunnerInfo, failed: runner_call.SendFailure
    ) -> next_step.Step:
        """Return what follows a decode runner that cannot be reached."""
        self._tried.add(runner.runner_id)
        self._note_failure(runner)
        step = self._decide(failed.result)
        self._context.log_send(
            self._request,
            runner=runner,
            result=failed.result,
            step=step,
            took_s=0.0,
            detail=failed.detail,
            part='connect',
        )
        return step

    def _note_failure(self, runner: runner_info.RunnerInfo) -> None:
        self._context.view.load(runner.runner_id).note_failure(_now_s())
        self._failed.add(runner.runner_id)

    def _after_failed_reading(
        self, prefill: runner_info.RunnerInfo
    ) -> next_step.Step:
        """Return what follows a prompt that could not be read.

        The decode runner could read it, but that holds all its streams
        up: whoever gives places has to plan for it. So a place is asked
        for anew; nothing has run yet.
        """
        self._failed.add(prefill.runner_id)
        self._failed_readings += 1
        if self._failed_readings > MAX_READINGS:
            return next_step.Step.REFUSE
        if not self._context.take_retry(self._service.name):
            return next_step.Step.REFUSE
        return next_step.Step.RETRY

    async def _decode(
        self,
        call: runner_call.RunnerCall,
        source: prompt_prefill.PrefilledPrompt | None,
        places: placement_session.PlacementSession,
        expected: forecast.Forecast | None,
    ) -> next_step.Step:
        context = self._context
        begun_s = _now_s()
        events_before = self._relay.event_count
        on_first_event = None
        if source is None or self._goes_on():
            # The decode runner reads at least what was written before.
            on_first_event = functools.partial(
                places.note_first_event, begun_s
            )
        runner = call.runner
        self._tried.add(runner.runner_id)
        note = dialect_module.SendOptions(
            remaining_s=context.remaining_s(self._request, self._route),
            runner_id=runner.runner_id,
            kv_source=source.source if source else None,
            resume_after=self._relay.last_id or None,
        )
        with context.log_if_cut(self._request, runner, part='decode'):
            failed = await call.open(self._request, note)
            context.note_rate_limit(call)
            result = failed.result if failed else None
            if failed is None and call.status >= runner_call.HTTP_SERVER_ERROR:
                result = send_result.SendResult.FAILED
            if result is None:
                if source is not None:
                    source.taken = True
                result = await self._relay.run(
                    call,
                    may_switch_runner=self._history.allows_another_send,
                    on_first_event=on_first_event,
                )
        self._judge(runner, result, source, _now_s() - begun_s)
        if result is send_result.SendResult.ANSWERED:
            self._measure(expected, resumed=events_before > 0)
        if result is send_result.SendResult.BROKEN:
            await context.report_if_crashed(
                self._request,
                runner,
                begun=self._relay.event_count > events_before,
            )
        step = self._decide(result)
        context.log_send(
            self._request,
            runner=runner,
            result=result,
            step=step,
            took_s=_now_s() - begun_s,
            detail=failed.detail if failed else f'status {call.status}',
            part='decode',
            events=self._relay.event_count,
            first_event_ms=self._relay.first_event_ms,
            longest_gap_ms=self._relay.longest_gap_ms,
            expected_first_ms=_expected_ms(expected),
            asked_tokens=self._tokens(),
        )
        if step is next_step.Step.RELAY and not self._responder.finished:
            await self._relay_failure(call)
        if step is next_step.Step.RETRY and await self._is_gone(
            runner, result
        ):
            self._sends_to_gone += 1
        return step

    def _measure(
        self, expected: forecast.Forecast | None, *, resumed: bool
    ) -> None:
        """Record how a whole answer compares with what was expected."""
        meters = self._context.meters
        meters.longest_pause(self._relay.longest_gap_ms / 1000)
        first_ms = self._relay.first_event_ms
        if expected is None or first_ms is None or resumed:
            return
        meters.first_event_error(first_ms / 1000 - expected.first_event_s)

    async def _is_gone(
        self, runner: runner_info.RunnerInfo, result: send_result.SendResult
    ) -> bool:
        """Return whether a runner that broke off takes no connection."""
        if result.is_known_not_run:
            return False
        call = runner_call.RunnerCall(
            runner=runner, dialect=self._context.dialect
        )
        try:
            return await call.connect() is not None
        finally:
            call.close()

    def _judge(
        self,
        runner: runner_info.RunnerInfo,
        result: send_result.SendResult,
        source: prompt_prefill.PrefilledPrompt | None,
        took_s: float,
    ) -> None:
        """Take note of what a send says of its runner."""
        if result is send_result.SendResult.ANSWERED:
            self._whole = True
            self._context.quarantine.note_answered(self._request)
            self._context.view.load(runner.runner_id).note_success(took_s)
        elif result is send_result.SendResult.REFUSED and source:
            # Mostly the KV cache has lapsed before it was taken; the
            # runner itself may have room.
            self._tried.discard(runner.runner_id)
        elif result is send_result.SendResult.REFUSED:
            self._full.add(runner.runner_id)
        else:
            self._note_failure(runner)

    async def _relay_failure(self, call: runner_call.RunnerCall) -> None:
        """Pass a runner's own error on, or break a begun stream off."""
        if self._responder.started:
            self._responder.abort()
            return
        body = await call.read(
            self._context.remaining_s(self._request, self._route)
        )
        if isinstance(body, runner_call.SendFailure):
            await self._end(next_step.Step.FAIL, body.detail)
            return
        await self._responder.write_whole(
            call.status,
            self._context.dialect.caller_headers(call.headers),
            body,
        )
        self._context.count(self._route, call.status, self._request)

    def _decide(self, result: send_result.SendResult) -> next_step.Step:
        return self._history.decide(
            result,
            remaining_s=self._context.remaining_s(self._request, self._route),
            can_retry=self._may_go_on,
        )

    def _may_go_on(self) -> bool:
        if not self._history.sends:
            return True
        return self._context.take_retry(self._service.name)

    async def _end(
        self,
        step: next_step.Step,
        reason: str,
        retry_after_s: float = local_reply.RETRY_AFTER_S,
    ) -> None:
        await local_reply.write(
            self._context,
            request=self._request,
            route=self._route,
            responder=self._responder,
            step=self._history.final_step(step),
            reason=reason,
            retry_after_s=retry_after_s,
        )


def _expected_ms(expected: forecast.Forecast | None) -> int | None:
    if expected is None:
        return None
    return round(expected.first_event_s * 1000)


def _now_s() -> float:
    return asyncio.get_running_loop().time()
