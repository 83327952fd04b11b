"""Forwards each request by its route."""

import asyncio
import contextlib
import logging
import typing

from limpetroute.forwarding import caller_request
from limpetroute.forwarding import forward_context
from limpetroute.forwarding import local_reply
from limpetroute.forwarding import peer_forward
from limpetroute.forwarding import plain_forward
from limpetroute.forwarding import responder as responder_module
from limpetroute.forwarding import stream_forward
from limpetroute.forwarding import team_gate
from limpetroute.routing import next_step
from limpetroute.routing import route as route_module
from limpetroute.routing import route_plan
from limpetroute.routing import startup_wait
from limpetroute.wire import buffer_budget

LOG = logging.getLogger(__name__)

# Interval at which a waiting request checks for the first configuration.
POLL_INTERVAL_S = 0.02
# Open requests of other entry hosts; their bodies and answers use memory
# that this host needs for its own callers.
MAX_PEER_REQUESTS = 64


class Forwarder:
    """Forwards each request by its route.

    Parameters
    ----------
    context : ForwardContext
        Shared state of the forwarder.
    """

    def __init__(self, *, context: forward_context.ForwardContext) -> None:
        self._context = context
        self.active = 0
        self._peer_requests = 0
        self.is_stopping = False
        self._started_s = asyncio.get_running_loop().time()

    def __repr__(self) -> str:
        return f'{type(self).__name__}(active={self.active!r})'

    async def answer(
        self,
        request: caller_request.CallerRequest,
        responder: responder_module.Responder,
    ) -> None:
        """Answer a request; stop early if its caller is gone."""
        self.active += 1
        try:
            await self._answer(request, responder)
        except responder_module.CallerGoneError:
            self._log_caller_gone(request)
        except asyncio.CancelledError:
            self._log_caller_gone(request)
            raise
        except Exception:  # noqa: BLE001 - every request is answered
            # Errors after a send are handled in `_forward`.
            await self._reply_unexpected(
                request, None, responder, may_have_run=False
            )
        finally:
            self.active -= 1
            if not responder.finished:
                responder.abort()

    async def decline(
        self,
        request: caller_request.CallerRequest,
        responder: responder_module.Responder,
        reason: str,
    ) -> None:
        """Tell another entry host that nothing was done with its request."""
        await local_reply.decline(
            self._context, request=request, responder=responder, reason=reason
        )

    async def refuse_headers(
        self,
        request: caller_request.CallerRequest,
        responder: responder_module.Responder,
    ) -> None:
        """Answer a request whose headers are over the limit."""
        await local_reply.write_status(
            self._context,
            request=request,
            route=None,
            responder=responder,
            status=local_reply.HTTP_HEADERS_TOO_LARGE,
            reason='headers over the limit',
        )

    @property
    def request_buffers(self) -> buffer_budget.BufferBudget:
        """The memory of the bodies of open requests."""
        return self._context.request_buffers

    @property
    def received_bytes(self) -> buffer_budget.BufferBudget:
        """The memory of connections and of what has arrived on them."""
        return self._context.received_bytes

    async def refuse_large_body(
        self,
        request: caller_request.CallerRequest,
        responder: responder_module.Responder,
    ) -> None:
        """Answer a request whose body is over the limit."""
        try:
            if request.from_peer:
                await self.decline(
                    request, responder, local_reply.BODY_TOO_LARGE
                )
                return
            await local_reply.write_status(
                self._context,
                request=request,
                route=None,
                responder=responder,
                status=local_reply.HTTP_BODY_TOO_LARGE,
                reason=local_reply.BODY_TOO_LARGE,
            )
        except responder_module.CallerGoneError:
            self._log_caller_gone(request)

    async def refuse_body(
        self,
        request: caller_request.CallerRequest,
        responder: responder_module.Responder,
    ) -> None:
        """Answer a request whose body finds no memory."""
        self._context.meters.body_refused()
        try:
            if request.from_peer:
                await self.decline(request, responder, local_reply.NO_MEMORY)
                return
            await local_reply.write_status(
                self._context,
                request=request,
                route=None,
                responder=responder,
                status=local_reply.HTTP_UNAVAILABLE,
                reason=local_reply.NO_MEMORY,
            )
        except responder_module.CallerGoneError:
            self._log_caller_gone(request)

    async def _answer(
        self,
        request: caller_request.CallerRequest,
        responder: responder_module.Responder,
    ) -> None:
        if not request.from_peer:
            await self._answer_caller(request, responder)
            return
        reason = self._reason_to_decline()
        if reason:
            await self.decline(request, responder, reason)
            return
        self._peer_requests += 1
        try:
            await self._answer_caller(request, responder)
        finally:
            self._peer_requests -= 1

    def _reason_to_decline(self) -> str:
        """Return why a request of another entry host is not taken."""
        if self.is_stopping:
            return 'stopping'
        if self._context.view.plan is None:
            return 'no routes'
        if self._context.links.are_cut:
            return local_reply.UNREACHABLE
        if self._peer_requests >= MAX_PEER_REQUESTS:
            return 'busy'
        return ''

    async def _answer_caller(
        self,
        request: caller_request.CallerRequest,
        responder: responder_module.Responder,
    ) -> None:
        context = self._context
        plan = context.view.plan
        if plan is None:
            plan = await self._wait_for_first_plan(request)
        if plan is None:
            await local_reply.write_status(
                context,
                request=request,
                route=None,
                responder=responder,
                status=local_reply.HTTP_UNAVAILABLE,
                reason='no routes are known yet',
                retry_after_s=local_reply.STARTING_RETRY_AFTER_S,
            )
            return
        route = await self._find_route(plan, request, responder)
        if route is None:
            return
        identified = await context.teams.identify(request, plan, route)
        if isinstance(identified, team_gate.Denied):
            await self._reply_denied(identified, request, route, responder)
            return
        if context.view.plan is not plan and context.view.plan is not None:
            # A newer version came into force meanwhile.
            route = await self._find_route(
                context.view.plan, request, responder
            )
            if route is None:
                return
        await self._forward(identified, route, responder)

    async def _find_route(
        self,
        plan: route_plan.RoutePlan,
        request: caller_request.CallerRequest,
        responder: responder_module.Responder,
    ) -> route_module.Route | None:
        """Return the request's route; answer the request if it has none."""
        route = plan.find(request.host, request.path)
        if route is None and request.from_peer:
            await self.decline(request, responder, 'no route')
        elif route is None:
            await local_reply.write_status(
                self._context,
                request=request,
                route=None,
                responder=responder,
                status=local_reply.HTTP_NOT_FOUND,
                reason=f'no route in version {plan.version}',
            )
        return route

    async def _reply_denied(
        self,
        denied: team_gate.Denied,
        request: caller_request.CallerRequest,
        route: route_module.Route,
        responder: responder_module.Responder,
    ) -> None:
        if request.from_peer:
            await self.decline(request, responder, denied.value)
            return
        status = local_reply.HTTP_UNAUTHORIZED
        if denied is team_gate.Denied.UNCERTAIN:
            status = local_reply.HTTP_UNAVAILABLE
        await local_reply.write_status(
            self._context,
            request=request,
            route=route,
            responder=responder,
            status=status,
            reason=denied.value,
        )

    async def _wait_for_first_plan(
        self, request: caller_request.CallerRequest
    ) -> route_plan.RoutePlan | None:
        """Wait a short time for the first configuration and return it."""
        loop = asyncio.get_running_loop()
        max_wait_s = startup_wait.max_wait_s(
            age_s=loop.time() - self._started_s,
            deadline_s=request.deadline_s,
        )
        wait_until_s = request.received_s + max_wait_s
        while self._context.view.plan is None and loop.time() < wait_until_s:
            await asyncio.sleep(POLL_INTERVAL_S)
        if self._context.view.plan is not None:
            LOG.info(
                'waited for the first routes',
                extra={
                    'request': request.request_id,
                    'waited_ms': round(
                        (loop.time() - request.received_s) * 1000
                    ),
                    'index': self._context.view.index,
                },
            )
        return self._context.view.plan

    async def _forward(
        self,
        request: caller_request.CallerRequest,
        route: route_module.Route,
        responder: responder_module.Responder,
    ) -> None:
        context = self._context
        assert context.view.plan is not None
        service_name = plain_forward.draw_service(route, context.rng)
        service = context.view.plan.service(service_name)
        if not request.from_peer:
            context.note_request(service_name)
        forward: stream_forward.StreamForward | plain_forward.PlainForward
        if service is not None and service.engine and request.generation:
            forward = stream_forward.StreamForward(
                context=context,
                request=request,
                route=route,
                service=service,
                responder=responder,
            )
        else:
            forward = plain_forward.PlainForward(
                context=context,
                request=request,
                route=route,
                service=service_name,
                responder=responder,
            )
        timeout_s = context.remaining_s(request, route)
        try:
            async with _answer_timeout(timeout_s, responder):
                await self._run(forward, request, route, responder)
        except TimeoutError:
            await local_reply.write(
                context,
                request=request,
                route=route,
                responder=responder,
                step=next_step.Step.EXPIRE,
                reason='no answer in time',
            )
        except responder_module.CallerGoneError:
            raise
        except Exception:  # noqa: BLE001 - every request is answered
            await self._reply_unexpected(
                request,
                route,
                responder,
                may_have_run=forward.history.may_have_run,
            )

    async def _reply_unexpected(
        self,
        request: caller_request.CallerRequest,
        route: route_module.Route | None,
        responder: responder_module.Responder,
        *,
        may_have_run: bool,
    ) -> None:
        """Log the current error and answer the request for this host."""
        LOG.exception(
            'unexpected error in a request',
            extra={'request': request.request_id},
        )
        if responder.finished:
            return
        if request.from_peer and not may_have_run and not responder.started:
            await self.decline(request, responder, local_reply.UNEXPECTED)
            return
        step = next_step.Step.REFUSE
        if may_have_run:
            step = next_step.Step.FAIL
        await local_reply.write(
            self._context,
            request=request,
            route=route,
            responder=responder,
            step=step,
            reason=local_reply.UNEXPECTED,
        )

    async def _run(
        self,
        forward: stream_forward.StreamForward | plain_forward.PlainForward,
        request: caller_request.CallerRequest,
        route: route_module.Route,
        responder: responder_module.Responder,
    ) -> None:
        """Answer a request through a runner, or through another entry host."""
        context = self._context
        # A host that is about to stop checks first whether the answer would
        # end in time.
        is_stopping = context.shutdown_s is not None
        if is_stopping or not context.should_leave_to_peer(request):
            if await forward.run():
                return
        if request.from_peer:
            await self.decline(request, responder, local_reply.UNREACHABLE)
            return
        peer = forward.peer or peer_forward.PeerForward(
            context=context,
            request=request,
            route=route,
            responder=responder,
            relay=forward.relay,
            may_have_run=forward.history.may_have_run,
            version=forward.version,
        )
        # A runner of the other host may run it.
        forward.history.begin_send()
        if await peer.run():
            return
        await local_reply.write(
            context,
            request=request,
            route=route,
            responder=responder,
            step=forward.history.final_step(next_step.Step.REFUSE),
            reason=local_reply.UNREACHABLE,
        )

    def _log_caller_gone(self, request: caller_request.CallerRequest) -> None:
        LOG.info('caller gone', extra={'request': request.request_id})


@contextlib.asynccontextmanager
async def _answer_timeout(
    timeout_s: float, responder: responder_module.Responder
) -> typing.AsyncIterator[None]:
    """Limit the time until an answer is complete.

    What is left to do after the answer is not cut: the time of the request
    has ended with it.
    """
    async with asyncio.timeout(timeout_s) as timeout:

        def disarm() -> None:
            if not timeout.expired():
                timeout.reschedule(None)

        responder.on_complete = disarm
        try:
            yield
        finally:
            responder.on_complete = None
