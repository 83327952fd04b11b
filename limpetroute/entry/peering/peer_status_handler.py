"""``GET /v1/peers/status``: this host's view of its peers."""

from limpetroute.entry.callers import base_handler


class PeerStatusHandler(base_handler.BaseHandler):
    """Returns members, leases, copies and counts."""

    def get(self) -> None:
        """Return the status as a JSON object."""
        peers = self.host.peers
        if peers is None:
            self.finish({'members': {}})
            return
        self.finish(peers.status())
