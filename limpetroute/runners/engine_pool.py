"""Clients of the runners in the directory."""

from limpetroute.runners import directory
from limpetroute.runners import engine_client
from limpetroute.runners import http_engine
from limpetroute.wire import caller


class EnginePool:
    """Creates clients for the runners in the directory.

    Parameters
    ----------
    runners : Directory
        The announced runners.
    http : Caller
        Makes the calls.
    """

    __slots__ = ('_http', '_runners')

    def __init__(
        self, *, runners: directory.Directory, http: caller.Caller
    ) -> None:
        self._runners = runners
        self._http = http

    def __repr__(self) -> str:
        return f'{type(self).__name__}(runners={self._runners!r})'

    def get(self, runner_id: str) -> engine_client.EngineClient | None:
        """Return a client, or None if the runner is unknown."""
        body = self._runners.get(runner_id)
        if body is None:
            return None
        return http_engine.HttpEngine(url=body.url, http=self._http)
