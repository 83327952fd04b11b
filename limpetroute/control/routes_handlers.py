"""What hosts ask for of the routing configuration."""

from limpetroute.control import base_handler

HTTP_NOT_FOUND = 404
HTTP_BAD_REQUEST = 400


class RoutesSliceHandler(base_handler.BaseHandler):
    """``GET /v1/routes``: a slice of an update."""

    async def get(self) -> None:
        """Show a slice of the way from ``base`` to ``digest``.

        The texts are named by their digests, so any control host that
        has them goes on where another one stopped. One that lacks the
        base can only begin the way from nothing.
        """
        word = self.get_query_argument('offset', '0')
        if not word.isdecimal():
            self.set_status(HTTP_BAD_REQUEST)
            self.finish({'errors': [f'offset: {word[:20]!r}']})
            return
        offset = int(word)
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
    """``GET /v1/routes/newest``: which configuration is in force."""

    def get(self) -> None:
        """Name it; only a leader whose lease runs answers."""
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
