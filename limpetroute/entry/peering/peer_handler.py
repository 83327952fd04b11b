"""``POST /v1/peers/{message}``: what entry hosts tell each other."""

from limpetroute.entry.callers import base_handler


class PeerHandler(base_handler.BaseHandler):
    """Takes a peer's message and answers it in the reply."""

    def set_default_headers(self) -> None:
        """Leave out what no peer reads; these calls never end."""
        for header in ('Server', 'Date'):
            self.clear_header(header)

    def compute_etag(self) -> None:
        """Give no entity tag."""
        return None

    def post(self, name: str) -> None:
        """Take one message."""
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
