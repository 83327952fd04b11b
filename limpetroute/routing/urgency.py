"""Ranks of streams, and the priorities that runners receive."""

import typing

from limpetroute.routing import placement
from limpetroute.routing import route as route_module
from limpetroute.routing import route_kind

# Priorities that runners accept.
MOST_URGENT = 0
LEAST_URGENT = 9

# (team's priority, or the route's if the team has none; route's priority).
# Lower goes first.
Rank = tuple[int, int]


def limited(priority: int) -> int:
    """Return a priority within the range that runners accept."""
    return min(LEAST_URGENT, max(MOST_URGENT, priority))


def rank_of(request: placement.PlacementRequest) -> Rank:
    """Return the rank of a stream.

    Hosts of earlier releases do not state the route's priority. The priority
    that they do state is the route's unless the team has one.
    """
    priority = limited(request.priority)
    if request.route_priority is None:
        return priority, priority
    return priority, limited(request.route_priority)


def ranked_services(
    routes: typing.Iterable[route_module.Route],
) -> frozenset[str]:
    """Return the services whose stream routes have different priorities."""
    priorities: dict[str, set[int]] = {}
    for route in routes:
        if route.kind is not route_kind.RouteKind.STREAM:
            continue
        for share in route.shares:
            if share.weight > 0:
                priorities.setdefault(share.service, set()).add(
                    limited(route.priority)
                )
    return frozenset(
        service for service, seen in priorities.items() if len(seen) > 1
    )
