"""Forwards a request and buffers the complete response."""

import asyncio
import logging
import random
import typing

from limpetroute.forwarding import caller_request
from limpetroute.forwarding import dialect as dialect_module
from limpetroute.forwarding import forward_context
from limpetroute.forwarding import local_reply
from limpetroute.forwarding import plain_slot
from limpetroute.forwarding import plain_slot_client
from limpetroute.forwarding import quarantine_gate
from limpetroute.forwarding import quota_charge
from limpetroute.forwarding import request_replies
from limpetroute.forwarding import responder as responder_module
from limpetroute.forwarding import response_reader
from limpetroute.forwarding import runner_call
from limpetroute.routing import next_step
from limpetroute.routing import plain_runner_choice
from limpetroute.routing import plain_slot_request
from limpetroute.routing import route as route_module
from limpetroute.routing import runner_info
from limpetroute.routing import send_history
from limpetroute.routing import send_result
from limpetroute.wire import buffer_budget
from limpetroute.wire import drop_reason

LOG = logging.getLogger(__name__)

# Why a host chose by itself although the leader granted a slot.
UNUSABLE = 'runner of no use here'


class PlainForward:
    """Forwards a request and buffers the complete response.

    The response is read to its end before its first byte goes to the
    caller. If a runner breaks off in the middle, the request is sent
    again if it is repeatable, and otherwise the caller gets an error
    rather than a truncated response.

    Parameters
    ----------
    context : ForwardContext
        Shared state of the forwarder.
    request : CallerRequest
        The caller's request.
    route : Route
        Its route.
    service : str
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
        service: str,
        responder: responder_module.Responder,
    ) -> None:
        self._context = context
        self._request = request
        self._route = route
        self._service = service
        self._responder = responder
        self._tried_runners: set[str] = set()
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

    def __repr__(self) -> str:
        return f'{type(self).__name__}(request={self._request.request_id!r})'

    @property
    def relay(self) -> None:
        """None, as the answer has no events."""
        return None

    @property
    def version(self) -> None:
        """None, as any runner may answer the request again."""
        return None

    @property
    def peer(self) -> None:
        """None, as no other host takes a request that a runner works on."""
        return None

    @property
    def history(self) -> send_history.SendHistory:
        """Its sends so far."""
        return self._history

    async def run(self) -> bool:
        """Answer the request; return False to leave it to another host.

        Then it may be sent again, and a stream may have begun.
        """
        if not self._context.accepts_call(self._request, self._route):
            await self._replies.refuse(local_reply.STOPPING)
            return True
        verdict = self._charge.take()
        if not verdict.allowed:
            await self._replies.refuse_over_quota(verdict)
            return True
        try:
            return await self._send_until_answered()
        finally:
            self._charge.settle(may_have_run=self._history.may_have_run)

    async def _send_until_answered(self) -> bool:
        while True:
            if self._should_leave_to_peer():
                return False
            runner = self._choose()
            if runner is None:
                await self._refuse_without_runner()
                return True
            slot = await self._take_slot(runner)
            if isinstance(slot, plain_slot_client.SlotRefused):
                await self._replies.refuse(slot.reason, slot.retry_after_s)
                return True
            try:
                is_answered = await self._use(slot)
            finally:
                slot.give_back()
            if is_answered is not None:
                return is_answered

    async def _use(self, slot: plain_slot.PlainSlot) -> bool | None:
        """Send once if that is allowed; see `run`, None for another try."""
        runner = slot.runner
        if not self._context.teams.is_current(self._request, self._route):
            await self._replies.refuse(local_reply.KEY_CHANGED)
            return True
        if self._gate.is_closed():
            await self._refuse_quarantined()
            return True
        if not await self._context.limits.take(runner):
            return None
        if not await self._gate.may_send():
            await self._refuse_quarantined()
            return True
        step = await self._send(slot)
        if self._history.failed_connects:
            await self._context.links.verify()
        if step is next_step.Step.RELAY:
            return True
        if step is next_step.Step.RETRY:
            return None
        if self._history.has_reached_none and self._should_leave_to_peer():
            return False
        await self._replies.end(step, 'after a send')
        return True

    async def _take_slot(
        self, runner: runner_info.RunnerInfo
    ) -> plain_slot.PlainSlot | plain_slot_client.SlotRefused:
        """Lease a slot, or use the runner that this host has chosen."""
        context = self._context
        if not context.balancing.leases_plain_slots:
            return plain_slot.PlainSlot(runner=runner)
        elapsed_s = _now_s() - self._request.received_s
        priority = self._request.priority
        leased = await context.slots.lease(
            plain_slot_request.PlainSlotRequest(
                service=self._service,
                request_id=self._request.request_id,
                host_id='',
                zone=context.zone,
                avoid=self._runners_to_avoid(),
                waited_s=elapsed_s,
                target_s=self._route.target_s,
                patience_s=elapsed_s
                + context.remaining_s(self._request, self._route),
                priority=self._route.priority
                if priority is None
                else priority,
                may_repeat=self._route.repeatable,
            )
        )
        if isinstance(leased, plain_slot_client.SlotRefused):
            context.meters.plain_slot('refused', leased.reason)
            return leased
        reason = ''
        if isinstance(leased, plain_slot_client.NoLease):
            reason = leased.reason
        else:
            granted = self._usable_runner(leased.runner_id)
            if granted is not None:
                context.meters.plain_slot('granted')
                return plain_slot.PlainSlot(runner=granted, lease=leased)
            leased.end(plain_slot_request.SlotEnd.UNUSED)
            reason = UNUSABLE
        context.meters.plain_slot('local', reason)
        # The view may have changed while the leader decided.
        return plain_slot.PlainSlot(
            runner=self._choose() or runner, local_reason=reason
        )

    def _runners_to_avoid(self) -> frozenset[str]:
        """Return the runners that this host does not or cannot use."""
        context = self._context
        now_s = _now_s()
        accepting = {
            one.runner_id for one in context.monitor.accepting(self._service)
        }
        avoid = set()
        usable = set()
        ejected = set()
        for runner in context.view.runners(self._service):
            runner_id = runner.runner_id
            load = context.view.load(runner_id)
            if (
                runner_id in self._tried_runners
                or runner_id not in accepting
                or load.is_limited(now_s)
            ):
                avoid.add(runner_id)
                continue
            usable.add(runner_id)
            if load.is_ejected(now_s):
                ejected.add(runner_id)
        if ejected != usable:
            avoid |= ejected
        return frozenset(avoid)

    def _usable_runner(self, runner_id: str) -> runner_info.RunnerInfo | None:
        """Return a runner that the leader chose; None if it is no use."""
        for runner in self._context.monitor.accepting(self._service):
            if runner.runner_id == runner_id and runner.ready:
                return runner
        return None

    def _should_leave_to_peer(self) -> bool:
        return self._history.may_go_to_peer(
            self._request.from_peer
        ) and self._context.should_leave_to_peer(self._request)

    async def _refuse_quarantined(self) -> None:
        await self._replies.refuse(
            local_reply.QUARANTINED, self._gate.retry_after_s
        )

    async def _refuse_without_runner(self) -> None:
        reason, wait_s = why_no_runner(
            self._context, self._service, self._tried_runners
        )
        await self._replies.refuse(reason, wait_s)

    def _choose(self) -> runner_info.RunnerInfo | None:
        return choose_runner(
            self._context,
            self._service,
            zone=self._context.zone,
            tried=self._tried_runners,
            rng=self._context.rng,
        )

    async def _send(self, slot: plain_slot.PlainSlot) -> next_step.Step:
        """Send once, relay a final response, and return the next step."""
        with self._context.answer_buffers.lease() as lease:
            return await self._send_and_buffer(slot, lease)

    async def _send_and_buffer(
        self,
        slot: plain_slot.PlainSlot,
        lease: buffer_budget.BufferLease,
    ) -> next_step.Step:
        context = self._context
        runner = slot.runner
        started_s = _now_s()
        self._tried_runners.add(runner.runner_id)
        load = context.view.load(runner.runner_id)
        call = context.new_call(
            runner,
            may_reuse=bool(self._request.request_id),
            is_repeatable=self._route.repeatable,
        )
        options = dialect_module.SendOptions(
            remaining_s=context.remaining_s(self._request, self._route),
            runner_id=runner.runner_id,
            priority=context.run_priority(
                self._request, self._route, runner.service
            ),
        )
        load.requests += 1
        self._history.begin_send()
        slot.begin_send()
        try:
            with context.log_if_cancelled(self._request, runner):
                failed = await call.open(self._request, options)
                context.note_rate_limit(call)
                body: bytes | response_reader.SendFailure = b''
                if failed is None:
                    body = await call.read(
                        context.remaining_s(self._request, self._route), lease
                    )
        finally:
            load.requests -= 1
            call.release()
        if failed is None and isinstance(body, response_reader.SendFailure):
            failed = body
        result = _result(call, failed)
        took_s = _now_s() - started_s
        # Another host may use the slot before the caller has the answer.
        slot.end(result)
        if result is send_result.SendResult.ANSWERED:
            load.note_success(took_s)
            context.quarantine.note_answered(self._request)
        elif (
            result is not send_result.SendResult.TIMED_OUT
            and not result.is_backoff
        ):
            load.note_failure(_now_s())
            context.connections.drop(runner, drop_reason.DropReason.FAILED)
        if result is send_result.SendResult.BROKEN:
            await context.report_if_crashed(
                self._request, runner, answer_begun=False
            )
        step = self._decide(result)
        context.log_send(
            self._request,
            runner=runner,
            result=result,
            step=step,
            took_s=took_s,
            detail=failed.detail if failed else f'status {call.status}',
            is_reused=call.is_reused,
            **slot.log_fields(),
        )
        if step is next_step.Step.RELAY:
            assert isinstance(body, bytes)
            await self._responder.write_whole(
                call.status,
                context.dialect.caller_headers(call.headers),
                body,
            )
            context.count(self._route, call.status, self._request)
        return step

    def _decide(self, result: send_result.SendResult) -> next_step.Step:
        if self._history.sends and not result.reached_runner:
            self._context.give_back_retry(self._service)
        return self._history.decide(
            result,
            remaining_s=self._context.remaining_s(self._request, self._route),
            can_retry=self._may_send_again,
        )

    def _may_send_again(self) -> bool:
        if self._choose() is None:
            return False
        if not self._history.sends:
            return True
        return self._context.take_retry(self._service)


def _result(
    call: runner_call.RunnerCall, failed: response_reader.SendFailure | None
) -> send_result.SendResult:
    if failed is not None:
        return failed.result
    if call.status >= response_reader.HTTP_SERVER_ERROR:
        return send_result.SendResult.FAILED
    return send_result.SendResult.ANSWERED


def _now_s() -> float:
    return asyncio.get_running_loop().time()


def choose_runner(
    context: forward_context.ForwardContext,
    service: str,
    *,
    zone: str,
    tried: typing.Collection[str],
    rng: random.Random,
) -> runner_info.RunnerInfo | None:
    """Return the runner of a service for a request, or None."""
    return plain_runner_choice.choose(
        context.monitor.accepting(service),
        loads=context.view.loads,
        zone=zone,
        tried=tried,
        now_s=_now_s(),
        rng=rng,
    )


def why_no_runner(
    context: forward_context.ForwardContext,
    service: str,
    tried: typing.Collection[str],
) -> tuple[str, float]:
    """Return why there is no runner, and the retry time."""
    wait_s = plain_runner_choice.limit_wait_s(
        context.view.runners(service),
        loads=context.view.loads,
        tried=tried,
        now_s=_now_s(),
    )
    if wait_s:
        return local_reply.LIMITED, wait_s
    wait_s = context.monitor.first_backoff_end_s(service)
    if wait_s:
        return local_reply.BACKED_OFF, context.retry_after_s(wait_s)
    return 'no runner', local_reply.RETRY_AFTER_S


def draw_service(route: route_module.Route, rng: random.Random) -> str:
    """Return one of a route's services, by weight."""
    total_weight = sum(share.weight for share in route.shares)
    remaining = rng.random() * total_weight
    for share in route.shares:
        remaining -= share.weight
        if remaining < 0:
            return share.service
    return next(one.service for one in route.shares if one.weight > 0)
