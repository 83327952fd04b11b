"""Streams that notice when a server ends a connection too early."""

import socket

from tornado import iostream

from limpetroute.wire import idle_check
from limpetroute.wire import untraced_stream

# At the end of a connection without the closing alert of the other side, TLS
# queues an alert of its own.
MAX_ALERT_BYTES = 64


class _NotesEarlyEnd(untraced_stream.UntracedStream):
    # What may be unsent although the server has received the whole request.
    _spare_bytes = 0
    # Whether the server ended the connection before it had received all that
    # was written, or has reset it as well.
    ended_early = False

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        count = super().read_from_fd(buf)
        if count == 0:
            # The stream closes the socket next, and drops what is unsent.
            self.ended_early = self._has_ended_early()
        return count

    def _has_ended_early(self) -> bool:
        assert isinstance(self, iostream.IOStream)
        # A read returns no error of a socket whose end was received before.
        error = self.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error or self.writing():
            return True
        return idle_check.unacknowledged_bytes(self) > self._spare_bytes


class ClientStream(_NotesEarlyEnd, iostream.IOStream):
    """A TCP connection to a server."""


class TlsClientStream(_NotesEarlyEnd, iostream.SSLIOStream):
    """A TLS connection to a server."""

    _spare_bytes = MAX_ALERT_BYTES


STREAMS = (ClientStream, TlsClientStream)
