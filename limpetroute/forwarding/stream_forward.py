"""Forwards a request whose answer is a stream of events."""

import asyncio
import contextlib
import dataclasses
import functools
import logging
import math
import typing

from limpetroute.forwarding import caller_request
from limpetroute.forwarding import dialect as dialect_module
from limpetroute.forwarding import forward_context
from limpetroute.forwarding import local_reply
from limpetroute.forwarding import peer_forward
from limpetroute.forwarding import placement_session
from limpetroute.forwarding import prompt_prefill
from limpetroute.forwarding import quarantine_gate
from limpetroute.forwarding import quota_charge
from limpetroute.forwarding import request_replies
from limpetroute.forwarding import responder as responder_module
from limpetroute.forwarding import response_reader
from limpetroute.forwarding import runner_call
from limpetroute.forwarding import stream_relay
from limpetroute.forwarding import stream_version
from limpetroute.routing import forecast
from limpetroute.routing import next_step
from limpetroute.routing import placement
from limpetroute.routing import quota_verdict
from limpetroute.routing import reservations
from limpetroute.routing import route as route_module
from limpetroute.routing import runner_info
from limpetroute.routing import send_history
from limpetroute.routing import send_result
from limpetroute.routing import service as service_module
from limpetroute.routing import tried_runners
from limpetroute.wire import drop_reason

LOG = logging.getLogger(__name__)

# A request with more failed prefills than this is refused, or goes on without
# a prefill runner if its stream has begun.
MAX_FAILED_PREFILLS = 2
# Pause between two searches for another runner while one is silent. A
# silence ends by itself within a second or so in most cases.
SEARCH_INTERVAL_S = 0.25


@dataclasses.dataclass(kw_only=True, slots=True)
class _Send:
    """One send to a decode runner; ``result`` is None while it answers."""

    assigned: placement_session.AssignedRunners
    session: placement_session.PlacementSession
    call: runner_call.RunnerCall
    started_s: float
    events_before: int
    prefilled: prompt_prefill.PrefilledPrompt | None = None
    is_repeat: bool = False
    result: send_result.SendResult | None = None
    detail: str = ''


class StreamForward:
    """Forwards a request whose answer is a stream of events.

    Parameters
    ----------
    context : ForwardContext
        Shared state of the forwarder.
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
        self._runners = tried_runners.TriedRunners(
            accepting=lambda: context.monitor.accepting(service.name)
        )
        self._history = send_history.SendHistory(route=route)
        self._replies = request_replies.RequestReplies(
            context=context,
            request=request,
            route=route,
            responder=responder,
            history=self._history,
        )
        self._gate = quarantine_gate.QuarantineGate(
            client=context.quarantine, request=request
        )
        self._charge = quota_charge.QuotaCharge(
            client=context.quotas, request=request
        )
        assert service.engine is not None
        self._prefill = prompt_prefill.PromptPrefill(
            context=context,
            request=request,
            route=route,
            result_ttl_s=service.engine.prefill_result_ttl_s,
        )
        self._version = stream_version.StreamVersion(
            context=context,
            request=request,
            route=route,
            service=service.name,
        )
        # Runner whose answer is being relayed.
        self._current_id = ''
        self._prefills = 0
        self._failed_prefills = 0
        self._avoids_prefill_runners = False
        self._sends_to_unreachable = 0
        self._is_complete = False
        # Whether a live runner broke off before the first event.
        self._broke_unread = False
        # Whether another runner may fetch the KV cache after the last send.
        self._keeps_prefill = False
        # The send that continues the stream in place of a silent runner.
        self._successor: _Send | None = None
        self._searches = 0
        # Another host that continues the stream in place of a silent runner.
        self._peer: peer_forward.PeerForward | None = None
        self._is_charged_for_peer = False
        self._is_opening_successor = False
        # A stopping host has no time for a stream that starts later.
        self._start_by_s = math.inf

    def __repr__(self) -> str:
        return f'{type(self).__name__}(request={self._request.request_id!r})'

    @property
    def relay(self) -> stream_relay.StreamRelay:
        """Relays its events."""
        return self._relay

    @property
    def peer(self) -> peer_forward.PeerForward | None:
        """Another host that has taken the stream already, or None."""
        return self._peer

    @property
    def version(self) -> str | None:
        """Software version that began the stream; None if unknown."""
        return self._version.current

    @property
    def history(self) -> send_history.SendHistory:
        """Its sends so far."""
        return self._history

    async def run(self) -> bool:
        """Answer the request; return False to leave it to another host.

        Then it may be sent again, and a stream may have begun.
        """
        generation = self._request.generation
        assert generation is not None
        self._start_by_s = self._context.latest_start_s(
            self._service, generation
        )
        if not self._may_start():
            await self._replies.refuse(local_reply.STOPPING)
            return True
        is_answered = True
        try:
            is_answered = await self._place_until_answered()
            return is_answered
        finally:
            if is_answered:
                self._discard_peer()
            self._discard_successor()
            self._prefill.free_unless_taken()
            self._charge.settle(may_have_run=self._history.may_have_run)

    async def _place_until_answered(self) -> bool:
        while True:
            if self._peer is not None or self._should_leave_to_peer():
                return False
            if self._gate.is_closed():
                await self._refuse_quarantined()
                return True
            successor, self._successor = self._successor, None
            session = successor.session if successor else self._new_session()
            try:
                if successor is None:
                    step = await self._place_and_send(session)
                else:
                    step = await self._finish_successor(successor)
                if self._runners.failed:
                    await self._drop_failures_of_cut_links()
            finally:
                self._release(session)
            if step is next_step.Step.RELAY:
                return True
            if step is next_step.Step.RETRY:
                continue
            if self._history.has_reached_none and self._should_leave_to_peer():
                return False
            await self._replies.end(step, 'after a send')
            return True

    async def _place_and_send(
        self, session: placement_session.PlacementSession
    ) -> next_step.Step:
        """Send the stream to the runners that the session acquires.

        Returns `RELAY` also if this host has answered instead.
        """
        progress = self._progress()
        result = await self._acquire(session, progress)
        if not self._may_start():
            await self._replies.refuse(local_reply.STOPPING)
            return next_step.Step.RELAY
        if isinstance(result, placement.Rejection):
            if self._should_leave_to_peer():
                return next_step.Step.RETRY
            await self._reply_rejected(result)
            return next_step.Step.RELAY
        if result is None or (
            progress.is_prefilled and self._prefill.unused is None
        ):
            # The KV cache expired while the stream waited.
            return next_step.Step.RETRY
        if not self._is_team_current():
            await self._replies.refuse(local_reply.KEY_CHANGED)
            return next_step.Step.RELAY
        if not await self._gate.may_send():
            await self._refuse_quarantined()
            return next_step.Step.RELAY
        if progress.is_resumed:
            # The leader may know what this host does not.
            self._version.current = result.decode.version
        return await self._send(result, session)

    def _new_session(
        self, name: str = ''
    ) -> placement_session.PlacementSession:
        return placement_session.PlacementSession(
            context=self._context,
            request=self._request,
            route=self._route,
            service=self._service,
            charge=self._charge,
            name=name,
        )

    def _release(self, session: placement_session.PlacementSession) -> None:
        session.release(
            decode_s=self._relay.decode_s,
            tokens=self._written_tokens(),
            failed=self._runners.failed,
            full=self._runners.full,
            whole=self._is_complete,
        )
        self._record_speed()
        self._runners.clear_results()

    async def _drop_failures_of_cut_links(self) -> None:
        """Report no failure of a runner if this host reaches none.

        The leader would eject sound runners for all hosts.
        """
        await self._context.links.verify()
        if self._context.links.are_cut:
            self._runners.failed.clear()

    def _should_leave_to_peer(self) -> bool:
        return self._history.may_go_to_peer(
            self._request.from_peer
        ) and self._context.should_leave_to_peer(self._request)

    async def _acquire(
        self,
        session: placement_session.PlacementSession,
        progress: placement_session.StreamProgress,
    ) -> placement_session.AssignedRunners | placement.Rejection | None:
        """Return the stream's runners, or a rejection.

        None if the KV cache of a prefilled prompt expires before that, or
        if the stream may not start any more.
        """
        prefilled = self._prefill.unused
        until_s: float | None = None
        if progress.is_prefilled and prefilled is not None:
            until_s = prefilled.expires_s
        elif not self._history.sends and self._start_by_s < math.inf:
            until_s = self._start_by_s
        try:
            async with asyncio.timeout_at(until_s):
                return await session.acquire(progress)
        except TimeoutError:
            return None

    async def _reply_rejected(self, rejection: placement.Rejection) -> None:
        if not rejection.over_quota:
            retry_after_s: float | None = rejection.retry_after_s
            if rejection.is_unknown_stream:
                retry_after_s = None
            await self._replies.refuse(rejection.reason, retry_after_s)
            return
        await self._replies.refuse_over_quota(
            quota_verdict.QuotaVerdict(
                allowed=False, wait_s=rejection.retry_after_s
            )
        )

    def _is_team_current(self) -> bool:
        """Return whether the stream may be sent for its team.

        A stream that already runs goes on when its key is taken away.
        """
        return self._relay.last_id != '' or self._context.teams.is_current(
            self._request, self._route
        )

    async def _refuse_quarantined(self) -> None:
        await self._replies.refuse(
            local_reply.QUARANTINED, self._gate.retry_after_s
        )

    def _may_start(self) -> bool:
        """Return whether the stream has started, or ends if it starts now."""
        return self._history.sends > 0 or _now_s() <= self._start_by_s

    def _record_speed(self) -> None:
        decode_s = self._relay.decode_s
        if self._is_complete and decode_s > reservations.MIN_MEASURED_S:
            self._context.note_decode_speed(
                self._service, self._written_tokens() / decode_s
            )

    def _progress(
        self, *, may_use_prefill_runner: bool = True
    ) -> placement_session.StreamProgress:
        is_prefilled = self._prefill.unused is not None
        return placement_session.StreamProgress(
            tried=self._runners.to_avoid(
                self._version.current, self._current_id
            ),
            is_resumed=self._is_resumed(),
            written_tokens=self._received_tokens(),
            may_use_prefill_runner=may_use_prefill_runner
            and not is_prefilled
            and self._may_use_prefill_runner(),
            is_prefilled=is_prefilled,
            shedding=frozenset(self._runners.shedding),
            waited_s=self._relay.waited_s,
            version=self._version.current,
            resumes=self._version.resumes,
            noted_version=self._version.noted,
        )

    def _may_use_prefill_runner(self) -> bool:
        """Return whether a prefill runner may process the prompt now.

        The first prefill is free. A later prefill counts as a send and is
        followed by the send to the decode runner, so the route must allow
        two more sends. Sends to unreachable runners do not count.
        """
        if self._avoids_prefill_runners:
            return False
        if not self._prefills:
            return True
        sends = self._history.sends - self._sends_to_unreachable
        if sends + 2 > self._route.max_sends:
            return False
        return self._context.take_retry(self._service.name)

    def _peak_tokens(self) -> int:
        generation = self._request.generation
        return generation.peak_tokens if generation else 0

    def _written_tokens(self) -> int:
        engine = self._service.engine
        assert engine is not None
        return self._relay.event_count * engine.tokens_per_event

    def _received_tokens(self) -> int:
        """Return the tokens that the caller has, also of earlier attempts."""
        engine = self._service.engine
        assert engine is not None
        generation = self._request.generation
        most = generation.max_output_tokens if generation else 0
        earlier = self._request.events_received * engine.tokens_per_event
        return min(most, earlier) + self._written_tokens()

    def _is_resumed(self) -> bool:
        """Return whether the caller already has a part of the answer."""
        return bool(self._request.resume_after or self._relay.last_id)

    async def _send(
        self,
        assigned: placement_session.AssignedRunners,
        session: placement_session.PlacementSession,
    ) -> next_step.Step:
        runner = assigned.decode
        call = self._context.new_call(runner)
        keeps_prefill = False
        try:
            with self._counted(runner):
                prefilled = self._prefill.unused
                if prefilled is None and assigned.prefill is not None:
                    # Connect to the decode runner first: a prefill for an
                    # unresponsive decode runner is wasted (30,000 tokens
                    # within 2 s while one of three was unresponsive).
                    failed = await call.connect()
                    if failed is not None:
                        return self._handle_failed_connect(runner, failed)
                    result = await self._prefill.run(assigned.prefill)
                    if isinstance(result, response_reader.SendFailure):
                        return self._handle_failed_prefill(
                            assigned.prefill, result
                        )
                    prefilled = result
                    self._prefills += 1
                    session.note_prefill_done()
                    if session.is_noted_by_leader:
                        self._version.noted = runner.version
                step = await self._decode(call, prefilled, session, assigned)
                keeps_prefill = self._keeps_prefill
                if not await self._may_repeat_at(runner, step):
                    return step
                call.close()
                call = self._context.new_call(runner)
                return await self._decode(
                    call, None, session, assigned, is_repeat=True
                )
        finally:
            call.close()
            if not keeps_prefill:
                self._prefill.free_unless_taken()

    @contextlib.contextmanager
    def _counted(
        self, runner: runner_info.RunnerInfo
    ) -> typing.Iterator[None]:
        """Count the stream in this host's load of a runner."""
        load = self._context.view.load(runner.runner_id)
        load.requests += 1
        load.tokens += self._peak_tokens()
        try:
            yield
        finally:
            load.requests -= 1
            load.tokens -= self._peak_tokens()

    async def _may_repeat_at(
        self, runner: runner_info.RunnerInfo, step: next_step.Step
    ) -> bool:
        """Return whether to send the stream to the same runner again.

        A live runner that reset the connection before the first event has
        the prompt in its cache. At another runner the prompt would have to
        be prefilled again, if there is room for it at all.
        """
        return (
            step is next_step.Step.RETRY
            and self._broke_unread
            and await self._gate.may_send()
        )

    def _handle_failed_connect(
        self,
        runner: runner_info.RunnerInfo,
        failed: response_reader.SendFailure,
    ) -> next_step.Step:
        """Record a failed connect to a decode runner, return the next step."""
        self._runners.tried.add(runner.runner_id)
        self._runners.unreachable.add(runner.runner_id)
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
        self._context.connections.drop(runner, drop_reason.DropReason.FAILED)
        self._runners.failed.add(runner.runner_id)

    def _handle_failed_prefill(
        self,
        prefill: runner_info.RunnerInfo,
        failed: response_reader.SendFailure,
    ) -> next_step.Step:
        """Record a failed prefill and return the next step.

        The decode runner could prefill the prompt itself, but that delays
        all its other streams, so the scheduler has to plan for it. The
        stream therefore requests a new placement. Nothing has run yet.
        """
        if not failed.result.is_backoff:
            self._runners.failed.add(prefill.runner_id)
        if failed.result is send_result.SendResult.WITHHELD:
            return next_step.Step.RETRY
        self._failed_prefills += 1
        if (
            self._failed_prefills <= MAX_FAILED_PREFILLS
            and self._context.take_retry(self._service.name)
        ):
            return next_step.Step.RETRY
        if not self._responder.started:
            return next_step.Step.REFUSE
        # A refusal would break the stream off, as it has begun.
        self._avoids_prefill_runners = True
        return next_step.Step.RETRY

    async def _decode(
        self,
        call: runner_call.RunnerCall,
        prefilled: prompt_prefill.PrefilledPrompt | None,
        session: placement_session.PlacementSession,
        assigned: placement_session.AssignedRunners,
        *,
        is_repeat: bool = False,
    ) -> next_step.Step:
        send = _Send(
            assigned=assigned,
            session=session,
            call=call,
            started_s=_now_s(),
            events_before=self._relay.event_count,
            prefilled=prefilled,
            is_repeat=is_repeat,
        )
        await self._open(send)
        return await self._finish(send)

    async def _open(self, send: _Send) -> None:
        """Send the stream to its decode runner until the answer begins."""
        context = self._context
        call = send.call
        prefilled = send.prefilled
        self._runners.tried.add(call.runner.runner_id)
        options = dialect_module.SendOptions(
            remaining_s=context.remaining_s(self._request, self._route),
            runner_id=call.runner.runner_id,
            kv_source=prefilled.source if prefilled else None,
            priority=context.run_priority(
                self._request, self._route, call.runner.service
            ),
            resume_after=self._relay.last_id or None,
        )
        self._history.begin_send()
        with context.log_if_cancelled(
            self._request, call.runner, part='decode'
        ):
            failed = await call.open(self._request, options)
        context.note_rate_limit(call)
        if failed is not None:
            send.result, send.detail = failed.result, failed.detail
            return
        send.detail = f'status {call.status}'
        if call.status >= response_reader.HTTP_SERVER_ERROR or (
            self._responder.started and not call.is_event_stream
        ):
            send.result = send_result.SendResult.FAILED
        elif prefilled is not None:
            prefilled.taken = True

    async def _relay_answer(self, send: _Send) -> send_result.SendResult:
        """Relay the answer that has begun to its end."""
        # Otherwise the decode runner has to prefill, at least the tokens that
        # were written before.
        is_prefilled = send.prefilled is not None and not self._is_resumed()
        self._current_id = send.call.runner.runner_id
        may_switch = (
            self._route.resumable and self._history.allows_another_send
        )
        try:
            with self._context.log_if_cancelled(
                self._request, send.call.runner, part='decode'
            ):
                return await self._relay.run(
                    send.call,
                    search=self if may_switch else None,
                    on_first_event=functools.partial(
                        self._note_first_event,
                        send,
                        is_prefilled=is_prefilled,
                    ),
                )
        finally:
            self._current_id = ''

    def _note_first_event(self, send: _Send, *, is_prefilled: bool) -> None:
        is_needed = not is_prefilled or self._context.balancing.is_shared
        if is_needed and not send.is_repeat:
            send.session.note_first_event(send.started_s)
        self._version.note_first_event(
            send.call.runner.version,
            leader_knows=send.session.is_noted_by_leader,
        )

    async def _finish(self, send: _Send) -> next_step.Step:
        """Relay the answer, if one has begun, and return the next step."""
        context = self._context
        call = send.call
        runner = call.runner
        predicted = send.assigned.forecast
        result = send.result
        if result is None:
            result = await self._relay_answer(send)
        if result is send_result.SendResult.TIMED_OUT:
            # Another runner may have taken over already.
            call.close()
        self._keeps_prefill = self._may_reuse_prefill(runner, result)
        self._record_result(
            runner, result, send.prefilled, _now_s() - send.started_s
        )
        if result is send_result.SendResult.ANSWERED:
            self._record_forecast_error(
                predicted, resumed=send.events_before > 0
            )
        if result is send_result.SendResult.BROKEN:
            await context.report_if_crashed(
                self._request,
                runner,
                answer_begun=self._relay.event_count > send.events_before,
            )
        step = self._decide(result)
        context.log_send(
            self._request,
            runner=runner,
            result=result,
            step=step,
            took_s=_now_s() - send.started_s,
            detail=send.detail,
            part='decode',
            framing=call.framing.value,
            events=self._relay.event_count,
            partial_bytes=self._relay.partial_bytes,
            first_event_ms=self._relay.first_event_ms,
            longest_gap_ms=self._relay.longest_gap_ms,
            expected_first_ms=_first_event_ms(predicted),
            asked_tokens=self._peak_tokens(),
        )
        if step is next_step.Step.RELAY and not self._responder.finished:
            await self._relay_failure(call)
        self._broke_unread = False
        if step is next_step.Step.RETRY and self._successor is None:
            if await self._is_unreachable(runner, result):
                self._sends_to_unreachable += 1
            else:
                self._broke_unread = (
                    result is send_result.SendResult.BROKEN
                    and self._relay.event_count == send.events_before
                )
        return step

    async def _finish_successor(self, send: _Send) -> next_step.Step:
        """Go on with the answer of another runner than the silent one."""
        try:
            with self._counted(send.call.runner):
                return await self._finish(send)
        finally:
            send.call.close()

    # Search for another runner while the stream's runner is silent

    @property
    def is_sending(self) -> bool:
        """Whether a search waits for the answer of another runner."""
        return self._is_opening_successor

    async def find(self) -> bool:
        """Open the stream at another runner; return whether to go on there.

        Implements `stream_relay.RunnerSearch`. The silent runner is left only
        once another one answers, because a sound runner may be silent for a
        second and then go on.
        """
        while self._history.allows_another_send and not self._gate.is_closed():
            if (
                not self._request.from_peer
                and self._context.should_leave_to_peer(self._request)
            ):
                self._peer = await self._open_at_peer()
            else:
                self._successor = await self._open_elsewhere()
            if self._peer is not None or self._successor is not None:
                return True
            await asyncio.sleep(SEARCH_INTERVAL_S)
        return False

    def discard(self) -> None:
        """Drop what `find` has opened; the stream stays at its runner."""
        self._discard_peer()
        self._discard_successor()

    def _discard_peer(self) -> None:
        peer, self._peer = self._peer, None
        if peer is not None:
            peer.close()

    def _discard_successor(self) -> None:
        successor, self._successor = self._successor, None
        if successor is not None:
            self._abandon(successor)
            successor.call.close()
            successor.session.release()

    def _abandon(self, send: _Send) -> None:
        """Give up a send to a sound runner, which may have run it."""
        self._history.abandon_send()
        self._runners.tried.discard(send.call.runner.runner_id)

    async def _open_at_peer(self) -> peer_forward.PeerForward | None:
        """Return another host that continues the stream, or None."""
        if not self._is_charged_for_peer:
            if not self._context.take_retry(self._service.name):
                return None
            self._is_charged_for_peer = True
        peer = peer_forward.PeerForward(
            context=self._context,
            request=self._request,
            route=self._route,
            responder=self._responder,
            relay=self._relay,
            may_have_run=True,
            version=self._version.current,
        )
        self._is_opening_successor = True
        try:
            return peer if await peer.open() is None else None
        finally:
            self._is_opening_successor = False

    async def _open_elsewhere(self) -> _Send | None:
        """Return an open send to another runner, or None.

        The decode runner prefills the prompt by itself: the stream is likely
        to go on where it is, and a prefill runner's work would be wasted.
        """
        # The placement at the silent runner is held meanwhile.
        self._searches += 1
        session = self._new_session(
            f'{self._request.request_id}.{self._searches}'
        )
        send = None
        try:
            send = await self._acquire_elsewhere(session)
            if send is not None:
                await self._open_or_abandon(send)
                if send.result is None:
                    return send
                if not send.result.reached_runner:
                    self._context.give_back_retry(self._service.name)
                await self._record_refused_open(send, send.result)
                if self._runners.failed:
                    await self._drop_failures_of_cut_links()
        except BaseException:
            if send is not None:
                send.call.close()
            session.release()
            raise
        if send is not None:
            send.call.close()
        session.release(failed=self._runners.failed, full=self._runners.full)
        self._runners.clear_results()
        return None

    async def _acquire_elsewhere(
        self, session: placement_session.PlacementSession
    ) -> _Send | None:
        progress = self._progress(may_use_prefill_runner=False)
        assigned = await session.acquire(
            dataclasses.replace(progress, has_runner=True)
        )
        if isinstance(
            assigned, placement.Rejection
        ) or not self._context.take_retry(self._service.name):
            return None
        if not await self._gate.may_send():
            self._context.give_back_retry(self._service.name)
            return None
        return _Send(
            assigned=assigned,
            session=session,
            call=self._context.new_call(assigned.decode),
            started_s=_now_s(),
            events_before=self._relay.event_count,
        )

    async def _open_or_abandon(self, send: _Send) -> None:
        """Open a send, which is cancelled if the silent runner goes on."""
        self._is_opening_successor = True
        try:
            with self._counted(send.call.runner):
                await self._open(send)
        except asyncio.CancelledError:
            self._abandon(send)
            raise
        finally:
            self._is_opening_successor = False

    async def _record_refused_open(
        self, send: _Send, result: send_result.SendResult
    ) -> None:
        """Record that another runner did not take the stream."""
        runner = send.call.runner
        took_s = _now_s() - send.started_s
        self._record_result(runner, result, None, took_s)
        if result is send_result.SendResult.BROKEN:
            await self._context.report_if_crashed(
                self._request, runner, answer_begun=False
            )
        step = self._history.decide(
            result,
            remaining_s=self._context.remaining_s(self._request, self._route),
            can_retry=lambda: True,
        )
        self._context.log_send(
            self._request,
            runner=runner,
            result=result,
            step=step,
            took_s=took_s,
            detail=send.detail,
            part='decode',
        )

    def _record_forecast_error(
        self, predicted: forecast.Forecast | None, *, resumed: bool
    ) -> None:
        """Record how a complete answer compares with its forecast."""
        meters = self._context.meters
        meters.longest_gap(self._relay.longest_gap_ms / 1000)
        first_ms = self._relay.first_event_ms
        if predicted is None or first_ms is None or resumed:
            return
        meters.first_event_error(first_ms / 1000 - predicted.first_event_s)

    async def _is_unreachable(
        self, runner: runner_info.RunnerInfo, result: send_result.SendResult
    ) -> bool:
        """Return whether a runner that broke off cannot be reached."""
        if result.is_known_not_run:
            return False
        call = self._context.new_call(runner)
        try:
            return await call.connect() is not None
        finally:
            call.close()

    def _record_result(
        self,
        runner: runner_info.RunnerInfo,
        result: send_result.SendResult,
        prefilled: prompt_prefill.PrefilledPrompt | None,
        took_s: float,
    ) -> None:
        """Update the health of a runner with the result of a send."""
        if result is send_result.SendResult.ANSWERED:
            self._is_complete = True
            self._runners.failed.discard(runner.runner_id)
            self._context.quarantine.note_answered(self._request)
            self._context.view.load(runner.runner_id).note_success(took_s)
        elif result.is_backoff:
            self._runners.tried.discard(runner.runner_id)
        elif result is send_result.SendResult.REFUSED and prefilled:
            # The decode runner may still have capacity: it sheds a part of
            # its requests, or the KV cache expired before it was fetched.
            self._runners.tried.discard(runner.runner_id)
            if self._keeps_prefill:
                self._runners.shedding.add(runner.runner_id)
        elif result is send_result.SendResult.REFUSED:
            self._runners.full.add(runner.runner_id)
        else:
            self._note_failure(runner)
            if result.is_known_not_run:
                self._runners.unreachable.add(runner.runner_id)

    def _may_reuse_prefill(
        self, runner: runner_info.RunnerInfo, result: send_result.SendResult
    ) -> bool:
        """Return whether another runner may fetch the KV cache.

        A runner that refuses a stream before its KV cache is due to expire
        has most likely not tried to fetch it. If there is no other decode
        runner, or the second one refuses the stream as well, the cache counts
        as lost.
        """
        if result is not send_result.SendResult.REFUSED:
            return result.keeps_kv_cache
        if self._runners.shedding or self._prefill.unused is None:
            return False
        return self._runners.has_untried(other_than=runner.runner_id)

    async def _relay_failure(self, call: runner_call.RunnerCall) -> None:
        """Relay a runner's error response, or abort a started stream."""
        if self._responder.started:
            self._responder.abort()
            return
        with self._context.answer_buffers.lease() as lease:
            body = await call.read(
                self._context.remaining_s(self._request, self._route), lease
            )
            if isinstance(body, response_reader.SendFailure):
                await self._replies.end(next_step.Step.FAIL, body.detail)
                return
            await self._responder.write_whole(
                call.status,
                self._context.dialect.caller_headers(call.headers),
                body,
            )
        self._context.count(self._route, call.status, self._request)

    def _decide(self, result: send_result.SendResult) -> next_step.Step:
        if self._history.sends and not result.reached_runner:
            self._context.give_back_retry(self._service.name)
        return self._history.decide(
            result,
            remaining_s=self._context.remaining_s(self._request, self._route),
            can_retry=self._may_send_again,
        )

    def _may_send_again(self) -> bool:
        # The budget was charged when the search began to send.
        if self._successor is not None or self._peer is not None:
            return True
        if not self._history.sends:
            return True
        return self._context.take_retry(self._service.name)


def _first_event_ms(predicted: forecast.Forecast | None) -> int | None:
    if predicted is None:
        return None
    return round(predicted.first_event_s * 1000)


def _now_s() -> float:
    return asyncio.get_running_loop().time()
