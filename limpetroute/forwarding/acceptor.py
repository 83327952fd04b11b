"""Accepts the connections of callers, as many as can be served."""

import asyncio
import logging
import resource
import select
import socket
import typing

from limpetroute.routing import accept_control

LOG = logging.getLogger(__name__)

# Open connections, also idle ones; bounds descriptors and memory.
MAX_CONNECTIONS = 1024
# Descriptors kept for other purposes. A request uses two, one of them for
# the connection to a runner.
RESERVED_DESCRIPTORS = 128
# Connections closed in one turn of the event loop.
MAX_CLOSED = 256


class Acceptor:
    """Accepts the connections of callers, as many as can be served.

    Parameters
    ----------
    sock : socket.socket
        Listening socket.
    serve : callable
        Takes a connection and its address.
    open_connections : callable
        Returns the number of connections that are open.
    free_connections : callable
        Returns how many more connections may be open. It may close idle ones
        to free the number that it is called with.
    on_closed : callable
        Called with the number of connections that were closed unread.
    """

    def __init__(
        self,
        *,
        sock: socket.socket,
        serve: typing.Callable[[socket.socket, typing.Any], None],
        open_connections: typing.Callable[[], int],
        free_connections: typing.Callable[[int], int],
        on_closed: typing.Callable[[int], None],
    ) -> None:
        self._socket = sock
        self._serve = serve
        self._open_connections = open_connections
        self._free_connections = free_connections
        self._on_closed = on_closed
        self._control = accept_control.AcceptControl()
        self._poll = select.poll()
        self._loop = asyncio.get_running_loop()
        self._is_timing = False
        self._closed_in_overload = 0

    def __repr__(self) -> str:
        return f'{type(self).__name__}({self._control!r})'

    def start(self) -> None:
        """Start to accept connections."""
        self._socket.setblocking(False)
        self._poll.register(self._socket, select.POLLIN)
        self._loop.add_reader(self._socket, self._accept_share)

    def stop(self) -> None:
        """Close the port; connections that are queued are reset."""
        self._loop.remove_reader(self._socket)
        self._socket.close()

    def _accept_share(self) -> None:
        free = self._free_connections(1)
        for _ in range(min(self._control.share, free)):
            accepted = self._accept()
            if accepted is None:
                break
            self._serve(*accepted)
        self._time_turn()
        must_close = self._control.must_close(
            is_empty=not self._poll.poll(0), now_s=self._loop.time()
        )
        if must_close or free <= 0:
            self._close_queued()

    def _accept(self) -> tuple[socket.socket, typing.Any] | None:
        """Return a connection and its address, or None."""
        try:
            return self._socket.accept()
        except BlockingIOError:
            return None
        except OSError as exc:
            # The caller has left, or there are no descriptors.
            LOG.info('connection not accepted', extra={'reason': str(exc)})
            return None

    def _close_queued(self) -> None:
        """Close connections unread, which callers may retry elsewhere."""
        closed = 0
        while closed < MAX_CLOSED:
            accepted = self._accept()
            if accepted is None:
                break
            accepted[0].close()
            closed += 1
        if not closed:
            return
        self._on_closed(closed)
        if not self._closed_in_overload:
            LOG.warning(
                'closing new connections: too many to serve',
                extra={'open': self._open_connections()},
            )
            self._loop.call_later(accept_control.CALM_S, self._check_end)
        self._closed_in_overload += closed

    def _check_end(self) -> None:
        if self._control.is_overloaded(self._loop.time()):
            self._loop.call_later(accept_control.CALM_S, self._check_end)
            return
        LOG.info(
            'accepting all new connections again',
            extra={'closed': self._closed_in_overload},
        )
        self._closed_in_overload = 0

    def _time_turn(self) -> None:
        """Measure the next complete turn of the event loop."""
        if not self._is_timing:
            self._is_timing = True
            self._loop.call_soon(self._begin_turn)

    def _begin_turn(self) -> None:
        self._loop.call_soon(self._end_turn, self._loop.time())

    def _end_turn(self, begun_s: float) -> None:
        self._is_timing = False
        self._control.note_turn(self._loop.time() - begun_s)


def max_connections() -> int:
    """Return how many connections of callers may be open."""
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if descriptors == resource.RLIM_INFINITY:
        return MAX_CONNECTIONS
    return min(MAX_CONNECTIONS, (descriptors - RESERVED_DESCRIPTORS) // 2)
