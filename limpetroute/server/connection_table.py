"""The open connections of one port."""

import asyncio
import math
import typing

from limpetroute.routing import connection_eviction

if typing.TYPE_CHECKING:
    from limpetroute.server import http_server
    from limpetroute.server import served_connection

SWEEP_S = 1.0
# Connections closed at once if there are too many.
MIN_CLOSED = 8
# Time until the connections are searched again if none could be closed.
PAUSE_S = 0.1


class ConnectionTable:
    """The open connections of one port.

    Closes connections that exceed a timeout, and others if connections or
    memory run out.

    Parameters
    ----------
    server : HttpServer
        Server of the port.
    """

    def __init__(self, *, server: 'http_server.HttpServer') -> None:
        self._server = server
        self._connections: set[served_connection.ServedConnection] = set()
        self._has_timer = False
        self._pauses_until_s = -math.inf

    def __repr__(self) -> str:
        return f'{type(self).__name__}(open={len(self)!r})'

    def __len__(self) -> int:
        return len(self._connections)

    def __iter__(
        self,
    ) -> typing.Iterator['served_connection.ServedConnection']:
        return iter(tuple(self._connections))

    def add(self, connection: 'served_connection.ServedConnection') -> None:
        """Add an open connection."""
        self._connections.add(connection)
        if not self._has_timer:
            self._has_timer = True
            asyncio.get_running_loop().call_later(SWEEP_S, self._sweep)

    def discard(
        self, connection: 'served_connection.ServedConnection'
    ) -> None:
        """Remove a connection that is closed."""
        self._connections.discard(connection)

    def free_connections(self, count: int) -> None:
        """Close up to so many connections that make no progress."""
        found = self._select(has_request=False)
        for connection in found[: max(count, MIN_CLOSED)]:
            connection.evict('connections')

    def free_memory(self, missing_bytes: int) -> None:
        """Close connections that make no progress until memory is free."""
        memory = self._server.memory
        enough_bytes = memory.used_bytes - missing_bytes
        for connection in self._select(has_request=True):
            if memory.used_bytes <= enough_bytes:
                return
            connection.evict('memory')

    def _select(
        self, *, has_request: bool
    ) -> list['served_connection.ServedConnection']:
        now_s = asyncio.get_running_loop().time()
        if now_s < self._pauses_until_s:
            return []
        found = connection_eviction.select(
            ((one, one.progress) for one in self._connections),
            now_s=now_s,
            has_request=has_request,
        )
        if not found:
            self._pauses_until_s = now_s + PAUSE_S
        return found

    def _sweep(self) -> None:
        loop = asyncio.get_running_loop()
        now_s = loop.time()
        for connection in self:
            connection.close_if_late(now_s)
        self._has_timer = bool(self._connections)
        if self._has_timer:
            loop.call_later(SWEEP_S, self._sweep)
