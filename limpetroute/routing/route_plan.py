"""All routes and services of one version."""

import dataclasses

from limpetroute.routing import caller_limits
from limpetroute.routing import route as route_module
from limpetroute.routing import service as service_module


@dataclasses.dataclass(frozen=True, kw_only=True)
class RoutePlan:
    """All routes and services of one version.

    Parameters
    ----------
    version : int
        Only a higher one replaces it.
    routes : tuple of Route
        The routes.
    services : tuple of Service
        The services.
    limits : CallerLimits
        Bounds of what callers may send.
    """

    version: int
    routes: tuple[route_module.Route, ...]
    services: tuple[service_module.Service, ...]
    limits: caller_limits.CallerLimits
    _by_host: dict[str, list[route_module.Route]] = dataclasses.field(
        init=False, repr=False, compare=False
    )
    _by_name: dict[str, service_module.Service] = dataclasses.field(
        init=False, repr=False, compare=False
    )

    def __post_init__(self) -> None:
        by_host: dict[str, list[route_module.Route]] = {}
        for one in self.routes:
            by_host.setdefault(one.host.lower(), []).append(one)
        for routes in by_host.values():
            routes.sort(key=lambda route: -len(route.path_prefix))
        by_name = {one.name: one for one in self.services}
        object.__setattr__(self, '_by_host', by_host)
        object.__setattr__(self, '_by_name', by_name)

    def find(self, host: str, path: str) -> route_module.Route | None:
        """Return the route of a request: the longest prefix wins."""
        for one in self._by_host.get(host.lower(), ()):
            if path.startswith(one.path_prefix):
                return one
        return None

    def service(self, name: str) -> service_module.Service | None:
        """Return a service."""
        return self._by_name.get(name)

    def problems(self) -> list[str]:
        """Say what makes this plan invalid; nothing if it is sound."""
        lines = []
        seen: set[tuple[str, str]] = set()
        for one in self.routes:
            where = f'route {one.name!r}'
            key = (one.host.lower(), one.path_prefix)
            if key in seen:
                lines.append(f'{where}: its host and prefix stand twice')
            seen.add(key)
            if not one.path_prefix.startswith('/'):
                lines.append(f'{where}: its prefix does not begin with /')
            if not one.path_prefix.endswith('/'):
                lines.append(f'{where}: its prefix does not end with /')
            if one.timeout_s <= 0:
                lines.append(f'{where}: its timeout is 0')
            if sum(share.weight for share in one.shares) <= 0:
                lines.append(f'{where}: its weights add up to 0')
            for share in one.shares:
                if share.weight < 0:
                    lines.append(f'{where}: a weight is below 0')
                if share.service not in self._by_name:
                    lines.append(f'{where}: unknown service {share.service!r}')
        if len(self._by_name) != len(self.services):
            lines.append('a service stands twice')
        return lines
