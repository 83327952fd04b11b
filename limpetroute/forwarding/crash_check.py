"""Tells a runner that has ended from one that broke an answer off."""

from limpetroute.forwarding import fleet_view
from limpetroute.routing import runner_info
from limpetroute.wire import connection

CONNECT_TRIES_S = (0.1,)


async def has_crashed(
    runner: runner_info.RunnerInfo, view: fleet_view.FleetView
) -> bool:
    """Return whether a runner that broke off has ended unannounced.

    Its host refuses connections then. A runner that is cut off answers
    nothing, and one that was told to leave has said so.
    """
    known = view.runner(runner.runner_id)
    if known is None or not known.ready:
        return False
    if known.started_ms != runner.started_ms:
        return False
    link = connection.Connection(host=runner.host, port=runner.port)
    try:
        failed = await link.connect(CONNECT_TRIES_S)
    finally:
        link.close()
    return failed is not None and failed.refused
