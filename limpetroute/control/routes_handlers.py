"""Handlers that serve the routing configuration to hosts."""

from limpetroute.control import base_handler

HTTP_NOT_FOUND = 404


class RoutesSliceHandler(base_handler.BaseHandler):
    """``GET /v1/routes``: returns a slice of an update."""

    async def get(self) -> None:
        """Return a slice of the update from ``base`` to ``digest``.

        Versions are identified by digests, so any control host that stores
        both can continue where another one stopped. A control host without
        the base only serves the update from an empty configuration, from
        its start.
        """
        offset = self.query_integer('offset', 0)
        await self.node.routes_splitter.split(self.node.config.state)
        base = self.get_query_argument('base', '')
        known = self.node.config.state.recent_routes.update(
            base, self.get_query_argument('digest', '')
        )
        if known is None or (offset and known.base != base):
            self.set_status(HTTP_NOT_FOUND)
            self.finish({'errors': ['not among the last versions here']})
            return
        self.finish_packed(known.slice(offset))


class NewestRoutesHandler(base_handler.BaseHandler):
    """``GET /v1/routes/newest``: returns the version in force."""

    def get(self) -> None:
        """Return version and digest, if this host holds the leader lease."""
        group = self.node.config
        if not group.replica.can_read(self.node.now_s):
            self.refuse('', 'not the leader')
            return
        routes = group.state.routes
        self.finish(
            {
                'version': routes.version if routes else 0,
                'digest': routes.digest if routes else '',
            }
        )
