"""``GET /v1/peers/manifest``: the newest manifest that this host has."""

from limpetroute.entry.callers import base_handler


class PeerManifestHandler(base_handler.BaseHandler):
    """Hands the manifest in force to a host that is cut off from control."""

    def get(self) -> None:
        """Answer in the shape of control, which this host does not speak for.

        ``in_touch`` is false: hearing a peer does not end the isolation
        of a host, it only brings it forward.
        """
        body = self.host.manifest
        text = None if body is None else body.model_dump(mode='json')
        self.finish({'in_touch': False, 'manifest': text})
