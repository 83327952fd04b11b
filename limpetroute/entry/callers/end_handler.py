"""``POST /v1/peers/relay/v1/requests/{id}/end/{attachment}``."""

from limpetroute.entry.callers import base_handler


class EndHandler(base_handler.BaseHandler):
    """Releases the end of an answer to the host that relays it."""

    async def post(self, request_id: str, attachment: str) -> None:
        """Send the end, unless a newer connection gets the answer."""
        if not self.authenticate():
            return
        live = self.host.records.by_id(self.team, request_id)
        if live is None:
            self.fail(404, 'no such request', code='request_not_found')
            return
        end = await live.release_end(int(attachment))
        if end is None:
            self.fail(
                409,
                'a newer connection took this request over',
                code='attached_elsewhere',
                outcome='unknown',
            )
            return
        self.set_header('Content-Type', 'application/octet-stream')
        self.finish(end)
