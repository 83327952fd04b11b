"""Splits routing configurations into fragments, in a thread."""

import asyncio

from limpetroute.control import control_state
from limpetroute.control import recent_routes
from limpetroute.control import routes_store
from limpetroute.routing import config_fragments


class RoutesSplitter:
    """Splits routing configurations into fragments, in a thread.

    On a busy host, splitting thousands of routes takes as long as the
    election timeout. On the event loop, it delayed heartbeats on all
    control hosts at once, and each large change ended the leader's term.
    """

    def __init__(self) -> None:
        self._running: dict[str, asyncio.Task[None]] = {}

    def __repr__(self) -> str:
        return f'{type(self).__name__}(running={len(self._running)!r})'

    async def split(self, state: control_state.ControlState) -> None:
        """Split the configuration in force, unless it is split already."""
        routes = state.routes
        if routes is None or state.recent_routes.is_split(routes.digest):
            return
        task = self._running.get(routes.digest)
        if task is None:
            task = asyncio.create_task(self._run(state.recent_routes, routes))
            self._running[routes.digest] = task
        # Others may wait for the task when this caller is cancelled.
        await asyncio.shield(task)

    async def _run(
        self,
        recent: recent_routes.RecentRoutes,
        routes: routes_store.RoutesInForce,
    ) -> None:
        try:
            fragments = await asyncio.to_thread(
                config_fragments.split, routes.text
            )
            recent.store_fragments(routes, fragments)
        finally:
            del self._running[routes.digest]
