"""Whether a request may be sent on an idle connection."""

import fcntl
import select
import ssl
import struct
import termios

from tornado import iostream

from limpetroute.wire import drop_reason

HAS_BYTES = select.POLLIN | select.POLLPRI


def find_fault(
    stream: iostream.IOStream,
) -> drop_reason.DropReason | None:
    """Return why no request may be sent on an idle connection, or None.

    Nothing is due on an idle connection. Bytes on it would be taken for
    the beginning of the next response.
    """
    if stream.closed():
        return drop_reason.DropReason.CLOSED
    # The stream reads while it waits for the end of the connection, and
    # has no public way to show what it has read.
    if stream._read_buffer_size:
        return drop_reason.DropReason.UNEXPECTED_BYTES
    if isinstance(stream.socket, ssl.SSLSocket) and stream.socket.pending():
        return drop_reason.DropReason.UNEXPECTED_BYTES
    poller = select.poll()
    poller.register(stream.socket, HAS_BYTES | select.POLLRDHUP)
    found = poller.poll(0)
    if not found:
        return None
    _, events = found[0]
    if events & ~HAS_BYTES:
        return drop_reason.DropReason.CLOSED
    return drop_reason.DropReason.UNEXPECTED_BYTES


def has_unsent(stream: iostream.IOStream) -> bool:
    """Return whether the server has not received all that was written."""
    if stream.closed():
        return False
    return stream.writing() or unacknowledged_bytes(stream) > 0


def unacknowledged_bytes(stream: iostream.IOStream) -> int:
    """Return how much of what the system has sent the server has not got."""
    queued = fcntl.ioctl(stream.socket, termios.TIOCOUTQ, b'\0' * 4)
    return int(struct.unpack('i', queued)[0])
