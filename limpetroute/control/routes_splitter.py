"""Cuts routing configurations into parts, beside the event loop."""

import asyncio

from limpetroute.control import control_state
from limpetroute.control import recent_routes
from limpetroute.control import routes_store
from limpetroute.routing import config_fragments


class RoutesSplitter:
    """Cuts routing configurations into parts, beside the event loop.

    Cutting thousands of routes takes as long as a leader may be silent,
    on a busy host. On the loop, it held heartbeats up on all control
    hosts at once, and each large change ended the term.
    """

    def __init__(self) -> None:
        self._running: dict[str, asyncio.Task[None]] = {}

    def __repr__(self) -> str:
        return f'{type(self).__name__}(running={len(self._running)!r})'

    async def split(self, state: control_state.ControlState) -> None:
        """Have the configuration in force cut, if it is not yet."""
        routes = state.routes
        if routes is None or state.recent_routes.is_split(routes.digest):
            return
        task = self._running.get(routes.digest)
        if task is None:
            task = asyncio.create_task(self._run(state.recent_routes, routes))
            self._running[routes.digest] = task
        # Who waits may be gone before the others.
        await asyncio.shield(task)

    async def _run(
        self,
        recent: recent_routes.RecentRoutes,
        routes: routes_store.RoutesInForce,
    ) -> None:
        try:
            parts = await asyncio.to_thread(
                config_fragments.split, routes.text
            )
            recent.store_fragments(routes, parts)
        finally:
            del self._running[routes.digest]
