"""``POST /v1/peers/{message}``: messages between entry hosts."""

from limpetroute.entry.callers import base_handler


class PeerHandler(base_handler.BaseHandler):
    """Passes a peer's message to the peer node and sends its reply."""

    def set_default_headers(self) -> None:
        """Omit headers that no peer reads; peers call all the time."""
        for header in ('Server', 'Date'):
            self.clear_header(header)

    def compute_etag(self) -> None:
        """Return None: replies need no entity tag."""
        return None

    def post(self, name: str) -> None:
        """Handle one message."""
        peers = self.host.peers
        if peers is None:
            self.fail(404, 'this host has no peers', code='no_peers')
            return
        try:
            reply = peers.receive(name, self.request.body)
        except KeyError:
            self.fail(404, f'no such message: {name!r}', code='not_found')
            return
        except ValueError as exc:
            self.fail(400, str(exc)[:200], code='invalid_body')
            return
        if not reply:
            self.set_status(204)
            return
        self.set_header('Content-Type', 'application/json')
        self.write(reply)
