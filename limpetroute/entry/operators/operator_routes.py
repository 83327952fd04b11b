"""Routes that operators' commands call on the internal port."""

import tornado.web

from limpetroute.entry.hosting import host as host_module
from limpetroute.entry.operators import operator_drain_handler
from limpetroute.entry.operators import operator_requests_handler
from limpetroute.entry.operators import operator_status_handler


def routes(host: host_module.Host) -> list[tornado.web.URLSpec]:
    """Return the routes for one host."""
    url = tornado.web.url
    state = {'host': host}
    drains = operator_drain_handler
    return [
        url(
            '/v1/operator/status',
            operator_status_handler.OperatorStatusHandler,
            state,
        ),
        url(
            '/v1/operator/requests',
            operator_requests_handler.OperatorRequestsHandler,
            state,
        ),
        url('/v1/operator/drain', drains.OperatorDrainHostHandler, state),
        url(
            '/v1/operator/drains/([^/]+)',
            drains.OperatorDrainRunnerHandler,
            state,
        ),
    ]
