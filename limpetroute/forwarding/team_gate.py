"""Finds the team of each request."""

import enum

from limpetroute.forwarding import caller_request
from limpetroute.forwarding import config_freshness
from limpetroute.forwarding import fleet_view
from limpetroute.routing import access
from limpetroute.routing import route as route_module
from limpetroute.routing import route_plan


class Denied(enum.StrEnum):
    """Why a request may not run, and how certain that is."""

    NO_KEY = access.Denial.NO_KEY.value
    UNKNOWN_KEY = access.Denial.UNKNOWN_KEY.value
    # This host may be behind, so another host or attempt may accept it.
    UNCERTAIN = 'the key may be newer than the routes here'


class TeamGate:
    """Finds the team of each request.

    Parameters
    ----------
    view : FleetView
        Holds the configuration.
    freshness : ConfigFreshness
        Finds out whether the configuration is the newest.
    """

    def __init__(
        self,
        *,
        view: fleet_view.FleetView,
        freshness: config_freshness.ConfigFreshness,
    ) -> None:
        self._view = view
        self._freshness = freshness

    def __repr__(self) -> str:
        return f'{type(self).__name__}(freshness={self._freshness!r})'

    async def identify(
        self,
        request: caller_request.CallerRequest,
        plan: route_plan.RoutePlan,
        route: route_module.Route,
    ) -> caller_request.CallerRequest | Denied:
        """Return the request with its team, or why it may not run."""
        found = access.check(plan, route, request.key_digest)
        if found is access.Denial.UNKNOWN_KEY:
            if not await self._freshness.confirm():
                return Denied.UNCERTAIN
            plan = self._view.plan or plan
            found = access.check(plan, route, request.key_digest)
        if isinstance(found, access.Denial):
            return Denied(found.value)
        return request.of_team(found, hides_credentials=plan.teams is not None)

    def is_current(
        self,
        request: caller_request.CallerRequest,
        route: route_module.Route,
    ) -> bool:
        """Return whether an identified request still belongs to its team.

        Its key may have been taken away or moved while it waited.
        """
        plan = self._view.plan
        if plan is None or plan.teams is None:
            return not request.team
        found = access.check(plan, route, request.key_digest)
        if isinstance(found, access.Denial):
            return False
        return request.team == (found.name if found else '')
