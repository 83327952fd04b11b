"""Routes and services of one version of the configuration."""

import dataclasses

from limpetroute.routing import caller_limits
from limpetroute.routing import route as route_module
from limpetroute.routing import service as service_module
from limpetroute.routing import team_index
from limpetroute.routing import urgency


@dataclasses.dataclass(frozen=True, kw_only=True)
class RoutePlan:
    """Routes and services of one version of the configuration.

    Parameters
    ----------
    version : int
        Version number; a plan is replaced only by a higher version.
    routes : tuple of Route
        The routes.
    services : tuple of Service
        The services.
    limits : CallerLimits
        Limits on callers' requests.
    teams : TeamIndex or None
        The teams; None if the configuration has none, so that anybody may
        call.
    """

    version: int
    routes: tuple[route_module.Route, ...]
    services: tuple[service_module.Service, ...]
    limits: caller_limits.CallerLimits
    teams: team_index.TeamIndex | None = None
    _ranked: frozenset[str] = dataclasses.field(
        init=False, repr=False, compare=False
    )
    _by_host: dict[str, list[route_module.Route]] = dataclasses.field(
        init=False, repr=False, compare=False
    )
    _by_name: dict[str, service_module.Service] = dataclasses.field(
        init=False, repr=False, compare=False
    )

    def __post_init__(self) -> None:
        by_host: dict[str, list[route_module.Route]] = {}
        for route in self.routes:
            by_host.setdefault(route.host.lower(), []).append(route)
        for routes in by_host.values():
            routes.sort(key=lambda route: -len(route.path_prefix))
        by_name = {service.name: service for service in self.services}
        ranked = urgency.ranked_services(self.routes)
        object.__setattr__(self, '_ranked', ranked)
        object.__setattr__(self, '_by_host', by_host)
        object.__setattr__(self, '_by_name', by_name)

    def find(self, host: str, path: str) -> route_module.Route | None:
        """Return the route with the longest prefix of a request's path."""
        for route in self._by_host.get(host.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def service(self, name: str) -> service_module.Service | None:
        """Return the service of a name, or None."""
        return self._by_name.get(name)

    def has_ranks(self, service: str) -> bool:
        """Return whether a service's stream routes differ in priority."""
        return service in self._ranked

    def problems(self) -> list[str]:
        """Return the errors of this plan, or an empty list if it is valid."""
        lines = []
        seen: set[tuple[str, str]] = set()
        for route in self.routes:
            where = f'route {route.name!r}'
            key = (route.host.lower(), route.path_prefix)
            if key in seen:
                lines.append(f'{where}: its host and prefix stand twice')
            seen.add(key)
            if not route.path_prefix.startswith('/'):
                lines.append(f'{where}: its prefix does not begin with /')
            if not route.path_prefix.endswith('/'):
                lines.append(f'{where}: its prefix does not end with /')
            if route.timeout_s <= 0:
                lines.append(f'{where}: its timeout is 0')
            if sum(share.weight for share in route.shares) <= 0:
                lines.append(f'{where}: its weights add up to 0')
            for share in route.shares:
                if share.weight < 0:
                    lines.append(f'{where}: a weight is below 0')
                if share.service not in self._by_name:
                    lines.append(f'{where}: unknown service {share.service!r}')
        if len(self._by_name) != len(self.services):
            lines.append('a service stands twice')
        return lines
