"""Handlers for other control hosts and for operators."""

from limpetroute.border import claim_bodies
from limpetroute.border import peer_batch
from limpetroute.control import base_handler
from limpetroute.control import status


class PeerHandler(base_handler.BaseHandler):
    """``POST /v1/peer``."""

    def post(self) -> None:
        """Receive a batch of messages.

        Replies to the messages are sent as batches of this host.
        """
        batch = self.parse(peer_batch.PeerBatch)
        if batch is None:
            return
        self.node.receive(batch)
        self.set_status(204)


class StatusHandler(base_handler.BaseHandler):
    """``GET /v1/status``."""

    def get(self) -> None:
        """Return this host's status."""
        self.finish(status.describe(self.node))


class ReplaceHandler(base_handler.BaseHandler):
    """``POST /v1/members/replace``."""

    def post(self) -> None:
        """Start replacing one control host by another."""
        body = self.parse(claim_bodies.ReplaceBody)
        if body is None:
            return
        problem = self.node.replace(body.old_host, body.new_host)
        if problem:
            self.set_status(409)
            self.finish({'outcome': 'refused', 'errors': [problem]})
            return
        self.finish({'outcome': 'begun'})
