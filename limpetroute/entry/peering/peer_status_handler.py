"""``GET /v1/peers/status``: how this host sees the others."""

from limpetroute.entry.callers import base_handler


class PeerStatusHandler(base_handler.BaseHandler):
    """Shows members, leases, copies and counts."""

    def get(self) -> None:
        """Answer with one object of plain values."""
        peers = self.host.peers
        if peers is None:
            self.finish({'members': {}})
            return
        self.finish(peers.status())
