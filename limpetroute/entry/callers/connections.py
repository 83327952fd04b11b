"""Limits of the callers' connections, set on the listening socket."""

import socket

KEEP_ALIVE_IDLE_S = 10
KEEP_ALIVE_INTERVAL_S = 5
KEEP_ALIVE_PROBES = 3


def bound(
    listener: socket.socket, *, send_buffer_bytes: int, stall_s: float
) -> None:
    """Bound what a connection may hold and how long it may be silent.

    Connections inherit these from the socket that accepts them. Without
    a fixed send buffer the kernel grows it to megabytes for each slow
    reader. A caller whose link drops packets brings neither FIN nor
    RST: keep-alive probes find it while nothing is written, and
    unacknowledged data ends the connection after ``stall_s``.

    Parameters
    ----------
    listener : socket
        The listening socket.
    send_buffer_bytes : int
        Most bytes of one connection that the kernel holds.
    stall_s : float
        Longest time that sent data may stay unacknowledged.
    """
    level = socket.SOL_SOCKET
    # The kernel doubles the number for its own bookkeeping.
    listener.setsockopt(level, socket.SO_SNDBUF, send_buffer_bytes // 2)
    listener.setsockopt(level, socket.SO_KEEPALIVE, 1)
    level = socket.IPPROTO_TCP
    stall_ms = int(stall_s * 1000)
    listener.setsockopt(level, socket.TCP_USER_TIMEOUT, stall_ms)
    listener.setsockopt(level, socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S)
    listener.setsockopt(level, socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_S)
    listener.setsockopt(level, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES)
