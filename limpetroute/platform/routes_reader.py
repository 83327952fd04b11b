"""Decodes routing configurations that change part by part."""

import typing

import pydantic

from limpetroute.platform import routes_body
from limpetroute.platform import routes_codec
from limpetroute.routing import config_fragments
from limpetroute.routing import route as route_module
from limpetroute.routing import route_plan
from limpetroute.routing import service as service_module

_ROUTES = 'routes'
_SERVICES = 'services'


class RoutesReader:
    """Decodes routing configurations that change part by part.

    Routes that the version before had are not decoded again: decoding
    thousands of them for each change of one would hold callers up.
    """

    def __init__(self) -> None:
        self._routes: dict[
            config_fragments.ConfigFragment, route_module.Route
        ] = {}

    def __repr__(self) -> str:
        return f'{type(self).__name__}(routes={len(self._routes)!r})'

    def prepare(
        self, parts: typing.Iterable[config_fragments.ConfigFragment]
    ) -> None:
        """Decode parts ahead of the `read` of a document with them."""
        known = self._routes
        for part in parts:
            if part.array == _ROUTES and part not in known:
                known[part] = _route(part)

    def read(
        self, parts: typing.Sequence[config_fragments.ConfigFragment]
    ) -> route_plan.RoutePlan:
        """Return the plan of a document that control hosts have checked.

        Raises
        ------
        InvalidRoutesError
            If a part cannot be read.
        """
        wanted = [part for part in parts if part.array == _ROUTES]
        self.prepare(wanted)
        known = self._routes
        routes = [known[part] for part in wanted]
        # Those that are gone are forgotten.
        self._routes = dict(zip(wanted, routes, strict=True))
        frame = _frame(parts)
        return route_plan.RoutePlan(
            version=frame.version,
            routes=(
                *(routes_codec.route(one) for one in frame.routes),
                *routes,
            ),
            services=_services(frame, parts),
            limits=routes_codec.limits(frame),
        )


def read_services(
    parts: typing.Sequence[config_fragments.ConfigFragment],
) -> tuple[service_module.Service, ...]:
    """Return only the services of a document."""
    return _services(_frame(parts), parts)


def _frame(
    parts: typing.Iterable[config_fragments.ConfigFragment],
) -> routes_body.RoutesBody:
    """Return the document without its routes and services."""
    text = ''.join(
        [part.text for part in parts if part.array not in (_ROUTES, _SERVICES)]
    )
    return _checked(routes_body.RoutesBody, text)


def _services(
    frame: routes_body.RoutesBody,
    parts: typing.Iterable[config_fragments.ConfigFragment],
) -> tuple[service_module.Service, ...]:
    bodies = list(frame.services)
    for part in parts:
        if part.array == _SERVICES:
            bodies.append(_checked(routes_body.ServiceBody, part.element))
    return tuple(routes_codec.service(one) for one in bodies)


def _route(part: config_fragments.ConfigFragment) -> route_module.Route:
    return routes_codec.route(_checked(routes_body.RouteBody, part.element))


_Model = typing.TypeVar('_Model', bound=pydantic.BaseModel)


def _checked(model: type[_Model], text: str) -> _Model:
    try:
        return model.model_validate_json(text)
    except pydantic.ValidationError as exc:
        raise routes_codec.InvalidRoutesError(str(exc)) from exc
