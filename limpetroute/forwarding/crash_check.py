"""Distinguishes a crashed runner from one that broke off a response."""

from limpetroute.forwarding import fleet_view
from limpetroute.routing import runner_info
from limpetroute.wire import connection

CONNECT_TRIES_S = (0.1,)


async def has_crashed(
    runner: runner_info.RunnerInfo, view: fleet_view.FleetView
) -> bool:
    """Return whether a runner that broke off has crashed.

    The host of a crashed runner refuses connections. A runner that is cut
    off by the network does not respond at all, and a runner that was told
    to leave has announced it. A runner that only the leader knows so far may
    crash like any other.
    """
    if view.has_left(runner):
        return False
    current = view.runner(runner.runner_id)
    if current is not None and not current.ready:
        return False
    link = connection.Connection(host=runner.host, port=runner.port)
    try:
        failed = await link.connect(CONNECT_TRIES_S)
    finally:
        link.close()
    return failed is not None and failed.refused
