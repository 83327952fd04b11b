"""Socket options that limit the callers' connections."""

import socket

KEEP_ALIVE_IDLE_S = 10
KEEP_ALIVE_INTERVAL_S = 5
KEEP_ALIVE_PROBES = 3


def limit_connections(
    listener: socket.socket, *, send_buffer_bytes: int, stall_s: float
) -> None:
    """Limit the send buffer and the silence of accepted connections.

    Accepted connections inherit the options of the listening socket.
    Without a fixed send buffer the kernel grows it to megabytes for
    each slow reader. A caller whose link drops all packets sends
    neither FIN nor RST: keep-alive probes detect it while nothing is
    written, and unacknowledged data ends the connection after
    ``stall_s``.

    Parameters
    ----------
    listener : socket
        The listening socket.
    send_buffer_bytes : int
        Most unsent or unacknowledged bytes that the kernel buffers for
        one connection.
    stall_s : float
        Longest time that sent data may stay unacknowledged.
    """
    level = socket.SOL_SOCKET
    # The kernel doubles the value to allow for its own bookkeeping.
    listener.setsockopt(level, socket.SO_SNDBUF, send_buffer_bytes // 2)
    listener.setsockopt(level, socket.SO_KEEPALIVE, 1)
    level = socket.IPPROTO_TCP
    stall_ms = int(stall_s * 1000)
    listener.setsockopt(level, socket.TCP_USER_TIMEOUT, stall_ms)
    listener.setsockopt(level, socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S)
    listener.setsockopt(level, socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_S)
    listener.setsockopt(level, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES)
