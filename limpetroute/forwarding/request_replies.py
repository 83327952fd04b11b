"""Answers that this host gives to one request in place of a runner."""

from limpetroute.forwarding import caller_request
from limpetroute.forwarding import forward_context
from limpetroute.forwarding import local_reply
from limpetroute.forwarding import responder as responder_module
from limpetroute.routing import next_step
from limpetroute.routing import quota_verdict
from limpetroute.routing import route as route_module
from limpetroute.routing import send_history


class RequestReplies:
    """Answers that this host gives to one request in place of a runner.

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
    history : SendHistory
        Its sends, which decide whether it may be said not to have run.
    """

    def __init__(
        self,
        *,
        context: forward_context.ForwardContext,
        request: caller_request.CallerRequest,
        route: route_module.Route,
        responder: responder_module.Responder,
        history: send_history.SendHistory,
    ) -> None:
        self._context = context
        self._request = request
        self._route = route
        self._responder = responder
        self._history = history

    def __repr__(self) -> str:
        return f'{type(self).__name__}(request={self._request.request_id!r})'

    async def end(
        self,
        step: next_step.Step,
        reason: str,
        retry_after_s: float | None = local_reply.RETRY_AFTER_S,
    ) -> None:
        """Answer with the status for a final step."""
        await local_reply.write(
            self._context,
            request=self._request,
            route=self._route,
            responder=self._responder,
            step=self._history.final_step(step),
            reason=reason,
            retry_after_s=retry_after_s,
        )

    async def refuse(
        self,
        reason: str,
        retry_after_s: float | None = local_reply.RETRY_AFTER_S,
    ) -> None:
        """Refuse the request; without a time if a retry is in vain."""
        await self.end(next_step.Step.REFUSE, reason, retry_after_s)

    async def refuse_over_quota(
        self, verdict: quota_verdict.QuotaVerdict
    ) -> None:
        """Refuse a request that its team's quota does not allow now."""
        if self._history.may_have_run or not verdict.by_leader:
            reason = local_reply.OVER_QUOTA
            if not verdict.by_leader:
                reason = local_reply.LOCAL_SHARE_USED
            await self.refuse(reason, verdict.wait_s)
            return
        await local_reply.write_status(
            self._context,
            request=self._request,
            route=self._route,
            responder=self._responder,
            status=local_reply.HTTP_TOO_MANY_REQUESTS,
            reason=local_reply.OVER_QUOTA,
            retry_after_s=verdict.wait_s,
        )
