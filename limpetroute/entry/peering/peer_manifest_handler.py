"""``GET /v1/peers/manifest``: the newest manifest that this host has."""

from limpetroute.entry.callers import base_handler


class PeerManifestHandler(base_handler.BaseHandler):
    """Serves the manifest to hosts that cannot reach the control hosts."""

    def get(self) -> None:
        """Return the manifest in the format of the control hosts.

        ``in_touch`` is false, because a manifest from a peer updates
        an isolated host but does not end its isolation.
        """
        body = self.host.manifest
        text = None if body is None else body.model_dump(mode='json')
        self.finish({'in_touch': False, 'manifest': text})
