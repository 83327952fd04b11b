"""Decodes routing configurations incrementally."""

import typing

from limpetroute.platform import routes_body
from limpetroute.platform import routes_codec
from limpetroute.platform import teams_reader
from limpetroute.platform import validated_part
from limpetroute.routing import config_fragments
from limpetroute.routing import route as route_module
from limpetroute.routing import route_plan
from limpetroute.routing import service as service_module

_ROUTES = 'routes'
_SERVICES = 'services'
_TEAMS = routes_codec.TEAMS_FIELD


class RoutesReader:
    """Decodes routing configurations incrementally.

    Routes that are unchanged from the previous version are not decoded
    again. Decoding thousands of routes whenever one of them changes would
    delay callers.
    """

    def __init__(self) -> None:
        self._routes: dict[
            config_fragments.ConfigFragment, route_module.Route
        ] = {}
        self._teams = teams_reader.TeamsReader()

    def __repr__(self) -> str:
        return f'{type(self).__name__}(routes={len(self._routes)!r})'

    def prepare(
        self, parts: typing.Iterable[config_fragments.ConfigFragment]
    ) -> None:
        """Decode fragments ahead, to make a later `read` short."""
        decoded = self._routes
        for part in parts:
            if part.array == _ROUTES and part not in decoded:
                decoded[part] = _route(part)
            elif part.array == _TEAMS:
                self._teams.prepare(part)

    def read(
        self, parts: typing.Sequence[config_fragments.ConfigFragment]
    ) -> route_plan.RoutePlan:
        """Decode a configuration that control hosts have validated.

        Raises
        ------
        InvalidRoutesError
            If a fragment is malformed.
        """
        route_parts = [part for part in parts if part.array == _ROUTES]
        self.prepare(route_parts)
        decoded = self._routes
        routes = [decoded[part] for part in route_parts]
        # Drops the routes that are no longer in the configuration.
        self._routes = dict(zip(route_parts, routes, strict=True))
        remainder = _remainder(parts)
        return route_plan.RoutePlan(
            version=remainder.version,
            routes=(
                *(routes_codec.route(body) for body in remainder.routes),
                *routes,
            ),
            services=_services(remainder, parts),
            limits=routes_codec.limits(remainder),
            teams=(
                None
                if remainder.tenants is None
                else self._teams.read(parts, remainder.tenants)
            ),
        )


def read_services(
    parts: typing.Sequence[config_fragments.ConfigFragment],
) -> tuple[service_module.Service, ...]:
    """Decode only the services of a configuration."""
    return _services(_remainder(parts), parts)


def unsplit_teams(
    parts: typing.Sequence[config_fragments.ConfigFragment],
) -> typing.Sequence[routes_body.TenantBody]:
    """Decode the teams of a document that was not split into fragments."""
    if len(parts) != 1:
        return ()
    return _remainder(parts).tenants or ()


def _remainder(
    parts: typing.Iterable[config_fragments.ConfigFragment],
) -> routes_body.RoutesBody:
    """Decode the configuration without its routes, services and teams."""
    apart = (_ROUTES, _SERVICES, _TEAMS)
    text = ''.join([part.text for part in parts if part.array not in apart])
    return validated_part.validated(routes_body.RoutesBody, text)


def _services(
    remainder: routes_body.RoutesBody,
    parts: typing.Iterable[config_fragments.ConfigFragment],
) -> tuple[service_module.Service, ...]:
    bodies = list(remainder.services)
    for part in parts:
        if part.array == _SERVICES:
            bodies.append(
                validated_part.validated(routes_body.ServiceBody, part.element)
            )
    return tuple(routes_codec.service(body) for body in bodies)


def _route(part: config_fragments.ConfigFragment) -> route_module.Route:
    return routes_codec.route(
        validated_part.validated(routes_body.RouteBody, part.element)
    )
