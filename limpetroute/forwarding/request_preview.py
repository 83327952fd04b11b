"""What this host would do with a request now."""

import asyncio
import copy
import dataclasses
import typing

import pydantic
from tornado import httputil

from limpetroute.border import errors
from limpetroute.border import hints_header
from limpetroute.border import preview_query
from limpetroute.forwarding import caller_request
from limpetroute.forwarding import control_watch
from limpetroute.forwarding import forward_context
from limpetroute.forwarding import leader_channel
from limpetroute.forwarding import local_reply
from limpetroute.forwarding import placement_session
from limpetroute.forwarding import plain_forward
from limpetroute.forwarding import quota_charge
from limpetroute.routing import placement
from limpetroute.routing import route as route_module
from limpetroute.routing import runner_info
from limpetroute.routing import runner_load
from limpetroute.routing import service as service_module
from limpetroute.wire import reply as reply_module

HTTP_OK = 200
HTTP_BAD_REQUEST = 400
HTTP_NOT_FOUND = 404
HTTP_TOO_MANY_REQUESTS = 429
HTTP_UNAVAILABLE = 503
LEADER_TIMEOUT_S = 1.0
MILLIS = 1000
REQUEST_ID = 'preview'
NOT_CONSIDERED = ("the caller's key", 'quotas', 'quarantine')

Body = dict[str, typing.Any]


class RequestPreview:
    """What this host would do with a request now.

    The choice itself is made by what chooses for callers' requests. Nothing
    is sent to a runner, and no state that affects decisions changes.

    Parameters
    ----------
    context : ForwardContext
        Shared state of the forwarder.
    channel : LeaderChannel
        Calls to the leader.
    watch : ControlWatch
        Knows when this host last received updates.
    """

    def __init__(
        self,
        *,
        context: forward_context.ForwardContext,
        channel: leader_channel.LeaderChannel,
        watch: control_watch.ControlWatch,
    ) -> None:
        self._context = context
        self._channel = channel
        self._watch = watch

    def __repr__(self) -> str:
        return f'{type(self).__name__}(channel={self._channel!r})'

    async def describe(
        self, values: typing.Mapping[str, str]
    ) -> tuple[int, Body]:
        """Return the HTTP status and the response to a query."""
        try:
            query = preview_query.PreviewQuery.model_validate(values)
        except pydantic.ValidationError as exc:
            return HTTP_BAD_REQUEST, {'errors': errors.describe(exc)}
        plan = self._context.view.plan
        if plan is None:
            return HTTP_UNAVAILABLE, {'errors': ['no routes are known yet']}
        route = plan.find(query.host, query.path)
        if route is None:
            text = f'no route in version {plan.version}'
            return HTTP_NOT_FOUND, {'errors': [text]}
        request = self._make_request(query)
        if query.team:
            team = plan.teams.get(query.team) if plan.teams else None
            if team is None:
                return HTTP_NOT_FOUND, {'errors': ['unknown team']}
            request = request.of_team(team, hides_credentials=True)
        if query.priority is not None:
            request = dataclasses.replace(request, priority=query.priority)
        # Quotas are not considered, as looking at them would charge them.
        request = dataclasses.replace(request, quota=None)
        rng = copy.deepcopy(self._context.rng)
        name = plain_forward.draw_service(route, rng)
        service = plan.service(name)
        body = self._describe_route(route, request, name)
        if service is not None and service.engine and request.generation:
            found = await self._ask_leader(query, request, route, service)
        else:
            zone = query.zone or self._context.zone
            runner = plain_forward.choose_runner(
                self._context, name, zone=zone, tried=(), rng=rng
            )
            found = (
                HTTP_OK,
                self._describe_plain(request, route, name, zone, runner),
            )
        status, decided = found
        return status, {**body, **decided}

    def _make_request(
        self, query: preview_query.PreviewQuery
    ) -> caller_request.CallerRequest:
        generation = None
        if query.prompt_tokens is not None:
            generation = caller_request.Generation(
                prompt_tokens=query.prompt_tokens,
                max_output_tokens=query.output_tokens,
                expected_output_tokens=query.output_tokens,
            )
        return caller_request.CallerRequest(
            request_id=REQUEST_ID,
            method='GET',
            target=query.path,
            host=query.host,
            headers=httputil.HTTPHeaders(),
            body=b'',
            received_s=_now_s(),
            deadline_s=query.deadline_s,
            generation=generation,
            resume_after='',
        )

    def _describe_route(
        self,
        route: route_module.Route,
        request: caller_request.CallerRequest,
        service: str,
    ) -> Body:
        priority = request.priority
        age_ms = None
        if self._watch.last_received_s:
            age_ms = round((_now_s() - self._watch.last_received_s) * MILLIS)
        return {
            'route': route.name,
            'kind': route.kind.value,
            'service': service,
            'services': {one.service: one.weight for one in route.shares},
            'team': request.team,
            'priority': route.priority if priority is None else priority,
            'attempts': route.max_sends,
            'not_considered': list(NOT_CONSIDERED),
            'inputs': {
                'routes_version': self._context.view.routes.version,
                'log_index': self._context.view.index,
                'control_host_ms_ago': age_ms,
                'is_shared': self._context.balancing.is_shared,
            },
        }

    def _describe_plain(
        self,
        request: caller_request.CallerRequest,
        route: route_module.Route,
        service: str,
        zone: str,
        runner: runner_info.RunnerInfo | None,
    ) -> Body:
        context = self._context
        body: Body = {
            'decided_by': 'host',
            'candidates': [
                self._describe_candidate(one, zone)
                for one in context.view.runners(service)
            ],
        }
        if not context.accepts_call(request, route):
            body.update(decision='refuse', reason=local_reply.STOPPING)
        elif context.links.are_cut:
            body.update(decision='pass_on', reason='no runner reachable')
        elif runner is None:
            reason, wait_s = plain_forward.why_no_runner(context, service, ())
            body.update(
                decision='refuse',
                reason=reason,
                retry_after_s=round(wait_s, 3),
            )
        else:
            body.update(decision='send', runner=runner.runner_id)
        return body

    def _describe_candidate(
        self, runner: runner_info.RunnerInfo, zone: str
    ) -> Body:
        now_s = _now_s()
        load = self._context.view.loads.get(
            runner.runner_id, runner_load.RunnerLoad()
        )
        against = ''
        if not runner.ready:
            against = 'not ready'
        elif not self._context.monitor.accepts(runner):
            against = 'leaving, or asked this host to back off'
        elif load.is_limited(now_s):
            against = 'its rate limit is used up'
        elif load.is_ejected(now_s):
            against = 'ejected after failures; used if there is no other'
        return {
            'runner_id': runner.runner_id,
            'zone': runner.zone,
            'in_zone': runner.zone == zone,
            'own_requests': load.requests,
            'slots': runner.slots,
            'against': against,
        }

    async def _ask_leader(
        self,
        query: preview_query.PreviewQuery,
        request: caller_request.CallerRequest,
        route: route_module.Route,
        service: service_module.Service,
    ) -> tuple[int, Body]:
        context = self._context
        generation = request.generation
        assert generation is not None
        if _now_s() > context.latest_start_s(service, generation):
            return HTTP_OK, {
                'decision': 'refuse',
                'reason': local_reply.STOPPING,
            }
        session = placement_session.PlacementSession(
            context=context,
            request=request,
            route=route,
            service=service,
            charge=quota_charge.QuotaCharge(
                client=context.quotas, request=request
            ),
        )
        asked, hints = session.first_request()
        if query.zone:
            asked = dataclasses.replace(asked, zone=query.zone)
        unavailable = self._channel.unavailable
        if unavailable is not None:
            return _no_leader(unavailable.reason)
        reply = await self._channel.call(
            '/v1/places/preview',
            placement.to_body(asked),
            headers=hints_header.encode(hints),
            timeout_s=LEADER_TIMEOUT_S,
        )
        if isinstance(reply, leader_channel.LeaderUnavailable):
            return _no_leader(reply.reason)
        if reply.status == HTTP_TOO_MANY_REQUESTS:
            text = f'the leader makes no preview: {_reason_in(reply)}'
            return HTTP_UNAVAILABLE, {'errors': [text]}
        if not reply.ok:
            return _no_leader(f'status {reply.status}')
        try:
            decided = reply.json()
        except ValueError as exc:
            return _no_leader(str(exc))
        if not isinstance(decided, dict):
            return _no_leader('not a JSON object')
        return HTTP_OK, {'decided_by': 'leader', **decided}


def _reason_in(reply: reply_module.Reply) -> str:
    try:
        return str(reply.json()['reason'])
    except (ValueError, KeyError, TypeError):
        return f'status {reply.status}'


def _no_leader(reason: str) -> tuple[int, Body]:
    text = (
        f'no answer of the leader ({reason}); this host would place the '
        'stream by its own requests'
    )
    return HTTP_UNAVAILABLE, {'errors': [text]}


def _now_s() -> float:
    return asyncio.get_running_loop().time()
