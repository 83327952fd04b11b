"""Decides whose request this is, and whether it may run."""

import enum

from limpetroute.routing import route as route_module
from limpetroute.routing import route_plan
from limpetroute.routing import team as team_module


class Denial(enum.StrEnum):
    """Why a request may not run; the texts are for callers and logs."""

    NO_KEY = 'no key'
    UNKNOWN_KEY = 'unknown key'


def check(
    plan: route_plan.RoutePlan,
    route: route_module.Route,
    key_digest: bytes | None,
) -> team_module.Team | Denial | None:
    """Return the team of a request, or why the request may not run.

    Returns None for a request of no team: the configuration has no teams,
    or the route is public and the request has no known key.

    Parameters
    ----------
    plan : RoutePlan
        The configuration in force.
    route : Route
        The request's route.
    key_digest : bytes or None
        Digest of the caller's key; None if it sent none.
    """
    if plan.teams is None:
        return None
    found = None if key_digest is None else plan.teams.find(key_digest)
    if found is not None or route.public:
        return found
    return Denial.NO_KEY if key_digest is None else Denial.UNKNOWN_KEY
