"""Decodes the operator's routing configuration."""

import json

import pydantic

from limpetroute.border import json_size
from limpetroute.platform import routes_body
from limpetroute.routing import caller_limits
from limpetroute.routing import route as route_module
from limpetroute.routing import route_kind
from limpetroute.routing import route_plan
from limpetroute.routing import service as service_module
from limpetroute.routing import team as team_module
from limpetroute.routing import team_index

MILLIS = 1000.0
TEAMS_FIELD = 'tenants'
TOKENS_UNIT = 'token_stream'
# Callers leave a stream after the longest of these times without an event:
# a fixed time, a multiple of the route's target, and a multiple of its
# target for the gap between events.
LEAST_SILENCE_S = 2.0
TARGETS_OF_SILENCE = 4.0
PAUSES_OF_SILENCE = 8.0

_KINDS = {
    'idempotent': route_kind.RouteKind.IDEMPOTENT,
    'non_idempotent': route_kind.RouteKind.ONCE,
    'streaming': route_kind.RouteKind.STREAM,
}


# Values in a configuration; 20,000 routes have fewer.
MAX_VALUES = 500_000
# More errors are counted and not listed.
MAX_ERRORS = 100


class InvalidRoutesError(ValueError):
    """A routing configuration that is malformed or inconsistent."""


def decode(text: str | bytes) -> route_plan.RoutePlan:
    """Decode and validate a complete configuration.

    Raises
    ------
    InvalidRoutesError
        If the text is malformed or the configuration is inconsistent.
    """
    try:
        json_size.check(
            text.encode() if isinstance(text, str) else text, MAX_VALUES
        )
    except json_size.TooManyValuesError as exc:
        raise InvalidRoutesError(str(exc)) from exc
    try:
        body = routes_body.SubmittedRoutesBody.model_validate_json(text)
    except pydantic.ValidationError as exc:
        raise InvalidRoutesError(_describe(exc, text)) from None
    plan = route_plan.RoutePlan(
        version=body.version,
        routes=tuple(route(route_body) for route_body in body.routes),
        services=tuple(
            service(service_body) for service_body in body.services
        ),
        limits=limits(body),
    )
    teams = [team(team_body) for team_body in body.tenants or ()]
    problems = [*plan.problems(), *team_index.problems(teams)]
    if problems:
        raise InvalidRoutesError('; '.join(problems))
    return plan


def limits(body: routes_body.RoutesBody) -> caller_limits.CallerLimits:
    """Convert the limits on callers' requests."""
    return caller_limits.CallerLimits(
        max_header_bytes=body.limits.max_header_bytes,
        max_body_bytes=body.limits.max_body_bytes,
        header_timeout_s=body.limits.header_timeout_ms / MILLIS,
        idle_timeout_s=body.limits.idle_timeout_ms / MILLIS,
    )


def route(body: routes_body.RouteBody) -> route_module.Route:
    """Convert a route."""
    shares = [
        route_module.Share(service=share.service, weight=share.weight)
        for share in body.split
    ]
    if body.service is not None:
        shares = [route_module.Share(service=body.service, weight=1.0)]
    gap_s = None if body.gap_slo_ms is None else body.gap_slo_ms / MILLIS
    return route_module.Route(
        name=body.name,
        host=body.host,
        path_prefix=body.path_prefix,
        kind=_KINDS[body.kind],
        timeout_s=body.timeout_ms / MILLIS,
        target_s=body.slo_ms / MILLIS,
        gap_target_s=gap_s,
        priority=body.priority,
        shares=tuple(shares),
        max_sends=body.attempts,
        resumable=body.resumable,
        silence_s=max(
            LEAST_SILENCE_S,
            TARGETS_OF_SILENCE * body.slo_ms / MILLIS,
            PAUSES_OF_SILENCE * (gap_s or 0.0),
        ),
        public=body.public,
    )


def service(body: routes_body.ServiceBody) -> service_module.Service:
    """Convert a service."""
    engine = None
    if body.engine is not None:
        engine = service_module.Engine(
            slots=body.engine.slots,
            memory_tokens=body.engine.kv_capacity,
            tokens_per_event=max(1, body.engine.stride),
            prefill_result_ttl_s=body.engine.kv_ttl_s,
            stage_change_s=body.engine.switch_s,
        )
    return service_module.Service(
        name=body.name,
        health_path=body.health_path,
        max_connections=body.max_conns,
        engine=engine,
    )


def team(body: routes_body.TenantBody) -> team_module.Team:
    """Convert a team; its keys are kept as digests only."""
    quota = None
    if body.rate_per_s > 0:
        quota = team_module.Quota(
            rate_per_s=body.rate_per_s,
            burst=body.burst,
            counts_tokens=body.unit == TOKENS_UNIT,
            default_tokens=body.raw_tokens,
        )
    return team_module.Team(
        name=body.name,
        key_digests=tuple(
            team_module.key_digest(key) for key in body.api_keys
        ),
        priority=body.priority,
        quota=quota,
    )


def _describe(exc: pydantic.ValidationError, text: str | bytes) -> str:
    """Return the errors with the names of the teams they concern."""
    if exc.error_count() > MAX_ERRORS:
        return f'{exc.error_count()} fields are invalid'
    lines = []
    for error in exc.errors(include_input=False, include_url=False):
        where = '.'.join(str(part) for part in error['loc'])
        if error['loc'][:1] == (TEAMS_FIELD,) and len(error['loc']) > 1:
            where = f'team {_team_name(text, error["loc"][1])}, {where}'
        lines.append(f'{where}: {error["msg"]}')
    return '; '.join(lines)


def _team_name(text: str | bytes, position: int | str) -> str:
    """Return a team's name from a document that could be parsed."""
    try:
        return repr(json.loads(text)[TEAMS_FIELD][position]['name'])
    except (KeyError, IndexError, TypeError):
        return f'at position {position}'
