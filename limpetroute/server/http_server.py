"""An HTTP server whose clients may hold a bounded amount of resources."""

import asyncio
import logging
import socket
import ssl
import typing

from tornado import http1connection
from tornado import httputil
from tornado import netutil

from limpetroute.server import bounded_stream
from limpetroute.server import connection_table
from limpetroute.server import port_limits
from limpetroute.server import port_observer
from limpetroute.server import pressure_log
from limpetroute.server import read_pacer
from limpetroute.server import refusal as refusal_module
from limpetroute.server import served_connection
from limpetroute.wire import buffer_budget

LOG = logging.getLogger(__name__)

# Connections that the system queues until they are accepted.
BACKLOG = 1024
# Bytes that the system keeps unread for each connection; they count as memory
# of the process.
RECEIVE_BUFFER_BYTES = 1 << 14


class HttpServer:
    """An HTTP server whose clients may hold a bounded amount of resources.

    It bounds the connections, the memory of heads, bodies and unsent answers,
    the time without progress, and the work in one turn of the event loop. If
    connections or memory run out, connections that make no progress are
    closed first.

    Parameters
    ----------
    delegate : HTTPServerConnectionDelegate
        Handles the requests.
    name : str
        Name of the port in logs and metrics.
    limits : PortLimits
        Limits of the port.
    memory : BufferBudget
        Memory that all connections may use together.
    observer : PortObserver or None
        Counts what is closed and refused.
    """

    def __init__(
        self,
        *,
        delegate: httputil.HTTPServerConnectionDelegate,
        name: str,
        limits: port_limits.PortLimits,
        memory: buffer_budget.BufferBudget,
        observer: port_observer.PortObserver | None = None,
    ) -> None:
        self.delegate = delegate
        self.name = name
        self.limits = limits
        self.memory = memory
        self.params = http1connection.HTTP1ConnectionParameters(
            chunk_size=bounded_stream.READ_BYTES,
            max_header_size=limits.max_head_bytes,
        )
        self.log = pressure_log.PressureLog(port=name)
        self.observer = observer or port_observer.RelayedObserver()
        self.table = connection_table.ConnectionTable(server=self)
        memory.reclaimers.append(self.table.free_memory)
        # Needs the event loop, which runs when the first connection comes.
        self._pacer: read_pacer.ReadPacer | None = None
        self._sockets: list[socket.socket] = []
        self._stop_accepting: list[typing.Callable[[], None]] = []
        self._tls: ssl.SSLContext | None = None

    def __repr__(self) -> str:
        return f'{type(self).__name__}(name={self.name!r})'

    @property
    def pacer(self) -> read_pacer.ReadPacer:
        """Bounds the work on bodies in one turn of the event loop."""
        if self._pacer is None:
            self._pacer = read_pacer.ReadPacer()
        return self._pacer

    def listen(
        self, address: str, port: int, tls: ssl.SSLContext | None = None
    ) -> int:
        """Open a port, start to accept connections and return its number."""
        sockets = bind_sockets(address, port)
        self.accept(sockets, tls)
        return int(sockets[0].getsockname()[1])

    def accept(
        self,
        sockets: typing.Iterable[socket.socket],
        tls: ssl.SSLContext | None = None,
    ) -> None:
        """Accept connections of listening sockets."""
        self._tls = tls
        for sock in sockets:
            self._sockets.append(sock)
            self._stop_accepting.append(
                netutil.add_accept_handler(sock, self.serve)
            )

    def free_connections(self, wanted: int) -> int:
        """Return how many more connections may be open.

        If there are fewer than wanted, connections that make no progress are
        closed.
        """
        missing = wanted - (self.limits.max_connections - len(self.table))
        if missing > 0:
            self.table.free_connections(missing)
        return self.limits.max_connections - len(self.table)

    def serve(self, sock: socket.socket, address: typing.Any) -> None:
        """Serve an accepted connection, or close it if there are too many."""
        lease = buffer_budget.BufferLease(budget=self.memory)
        if self.free_connections(1) <= 0:
            self._close_unread(sock, 'connections')
            return
        size = served_connection.CONNECTION_BYTES
        if self._tls is not None:
            size += served_connection.TLS_BYTES
        if not lease.take(size):
            self._close_unread(sock, 'memory')
            return
        try:
            stream = self._stream(sock)
        except OSError as exc:
            # The client closed the connection at once.
            LOG.info('connection not served', extra={'reason': str(exc)})
            lease.release()
            sock.close()
            return
        connection = served_connection.ServedConnection(
            server=self, stream=stream, address=address, lease=lease
        )
        self.table.add(connection)
        connection.start()

    def _stream(self, sock: socket.socket) -> bounded_stream.BoundedStream:
        if self._tls is None:
            return bounded_stream.BoundedStream(
                sock, read_chunk_size=bounded_stream.READ_BYTES
            )
        wrapped = netutil.ssl_wrap_socket(
            sock, self._tls, server_side=True, do_handshake_on_connect=False
        )
        return typing.cast(
            bounded_stream.BoundedStream,
            bounded_stream.BoundedTlsStream(
                wrapped, read_chunk_size=bounded_stream.READ_BYTES
            ),
        )

    def _close_unread(self, sock: socket.socket, reason: str) -> None:
        sock.close()
        self.note_closed(f'new: {reason}')

    def note_closed(self, reason: str) -> None:
        """Count and log a connection that was closed to free resources."""
        self.observer.closed(self.name, reason)
        self.log.note(f'closed, {reason}')

    def note_refused(self, refusal: refusal_module.Refusal) -> None:
        """Count and log a request that was refused before it was read."""
        self.observer.refused(self.name, refusal_module.STATUS[refusal])
        self.log.note(f'refused, {refusal.value}')

    def stop(self) -> None:
        """Close the port; open connections stay."""
        for stop in self._stop_accepting:
            stop()
        self._stop_accepting.clear()
        for sock in self._sockets:
            sock.close()
        self._sockets.clear()

    async def close_all_connections(self) -> None:
        """Close all connections."""
        tasks = [connection.close() for connection in self.table]
        await asyncio.gather(*tasks)


def bind_sockets(address: str, port: int) -> list[socket.socket]:
    """Return listening sockets whose connections buffer few bytes."""
    sockets = netutil.bind_sockets(port, address, backlog=BACKLOG)
    for sock in sockets:
        # Connections inherit the option.
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
    return sockets
