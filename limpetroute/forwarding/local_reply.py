"""Responses that this host generates instead of a runner."""

import json
import logging

from tornado import httputil

from limpetroute.forwarding import caller_request
from limpetroute.forwarding import forward_context
from limpetroute.forwarding import peer_protocol
from limpetroute.forwarding import responder as responder_module
from limpetroute.routing import next_step
from limpetroute.routing import route as route_module

LOG = logging.getLogger(__name__)

HTTP_NOT_FOUND = 404
HTTP_BAD_REQUEST = 400
HTTP_UNAUTHORIZED = 401
HTTP_BODY_TOO_LARGE = 413
HTTP_TOO_MANY_REQUESTS = 429
HTTP_HEADERS_TOO_LARGE = 431
HTTP_BAD_GATEWAY = 502
HTTP_UNAVAILABLE = 503
HTTP_GATEWAY_TIMEOUT = 504

_STATUS = {
    next_step.Step.REFUSE: HTTP_UNAVAILABLE,
    next_step.Step.FAIL: HTTP_BAD_GATEWAY,
    next_step.Step.EXPIRE: HTTP_GATEWAY_TIMEOUT,
}

# A caller that retries at once meets the same runners in the same state.
# Failures and full queues last a few hundred milliseconds.
RETRY_AFTER_S = 0.3
# A host without routes has just started, usually together with all control
# hosts, which need one to two seconds to elect a leader.
STARTING_RETRY_AFTER_S = 1.5


LIMITED = 'runners take no more for now'
BACKED_OFF = 'runners asked this host to back off'
QUARANTINED = 'runners crashed under this request'
OVER_QUOTA = 'over quota'
LOCAL_SHARE_USED = 'no leader: local share of the quota is used up'
UNREACHABLE = 'no runner reachable'
KEY_CHANGED = 'the key changed while the request waited'
UNEXPECTED = 'unexpected error'
STOPPING = 'this host stops'
NO_MEMORY = 'no memory for its body'
BODY_TOO_LARGE = 'body over the limit'

_RETRYABLE = (HTTP_UNAVAILABLE, HTTP_TOO_MANY_REQUESTS)


async def decline(
    context: forward_context.ForwardContext,
    *,
    request: caller_request.CallerRequest,
    responder: responder_module.Responder,
    reason: str,
) -> None:
    """Tell another entry host that nothing was done with its request."""
    LOG.info(
        'declined a request of another entry host',
        extra={'request': request.request_id, 'reason': reason},
    )
    headers = httputil.HTTPHeaders({peer_protocol.DECLINED: reason})
    await responder.write_whole(HTTP_UNAVAILABLE, headers, b'')


async def write(
    context: forward_context.ForwardContext,
    *,
    request: caller_request.CallerRequest,
    route: route_module.Route | None,
    responder: responder_module.Responder,
    step: next_step.Step,
    reason: str,
    retry_after_s: float | None = RETRY_AFTER_S,
) -> None:
    """Answer a request with the status for a final step."""
    await write_status(
        context,
        request=request,
        route=route,
        responder=responder,
        status=_STATUS[step],
        reason=reason,
        retry_after_s=retry_after_s,
    )


async def write_status(
    context: forward_context.ForwardContext,
    *,
    request: caller_request.CallerRequest,
    route: route_module.Route | None,
    responder: responder_module.Responder,
    status: int,
    reason: str,
    retry_after_s: float | None = RETRY_AFTER_S,
) -> None:
    """Answer a request with a status and a reason.

    A refusal without ``retry_after_s`` names no time for a retry.
    An answer that has already started is aborted instead, and one that is
    complete is left as it is.
    """
    if responder.finished:
        return
    headers = context.dialect.local_reply_headers(request)
    headers['Content-Type'] = 'application/json'
    if status in _RETRYABLE and retry_after_s is not None:
        headers['Retry-After'] = f'{retry_after_s:.3f}'.rstrip('0').rstrip('.')
    plan = context.view.plan
    LOG.info(
        'answered for itself',
        extra={
            'request': request.request_id,
            'route': route.name if route else '',
            'status': status,
            'reason': reason,
            'team': request.team,
            'version': plan.version if plan else 0,
        },
    )
    context.count(route, status, request)
    body = json.dumps({'status': status, 'reason': reason}).encode()
    if responder.started:
        responder.abort()
        return
    await responder.write_whole(status, headers, body)
