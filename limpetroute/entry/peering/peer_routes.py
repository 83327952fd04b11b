"""Routes that other entry hosts call on the internal port."""

import tornado.web

from limpetroute.entry.callers import completions_handler
from limpetroute.entry.callers import end_handler
from limpetroute.entry.callers import events_handler
from limpetroute.entry.callers import request_handler
from limpetroute.entry.hosting import host as host_module
from limpetroute.entry.peering import peer_handler
from limpetroute.entry.peering import peer_manifest_handler
from limpetroute.entry.peering import peer_relay
from limpetroute.entry.peering import peer_status_handler


def routes(host: host_module.Host) -> list[tornado.web.URLSpec]:
    """Return the routes for one host."""
    url = tornado.web.url
    state = {'host': host}
    relay = peer_relay.PREFIX
    completions = completions_handler.CompletionsHandler
    return [
        url(f'{relay}/v1/completions', completions, {**state, 'chat': False}),
        url(
            f'{relay}/v1/chat/completions',
            completions,
            {**state, 'chat': True},
        ),
        url(
            f'{relay}/v1/requests/([^/]+)/events',
            events_handler.EventsHandler,
            state,
        ),
        url(
            f'{relay}/v1/requests/([^/]+)/end/([0-9]{{1,9}})',
            end_handler.EndHandler,
            state,
        ),
        url(
            f'{relay}/v1/requests/([^/]+)',
            request_handler.RequestHandler,
            state,
        ),
        url(
            '/v1/peers/manifest',
            peer_manifest_handler.PeerManifestHandler,
            state,
        ),
        url('/v1/peers/status', peer_status_handler.PeerStatusHandler, state),
        url('/v1/peers/([a-z_]+)', peer_handler.PeerHandler, state),
    ]
