"""Splits a stream of server-sent events into complete events."""

_ID = b'id:'
_END = b'\n\n'


class EventSplitter:
    """Splits a stream of server-sent events into complete events.

    A runner that crashes may stop in the middle of an event. Only
    complete events are relayed, so that the next runner's events start
    at an event boundary.
    """

    __slots__ = ('_partial', 'count', 'last_id')

    def __init__(self) -> None:
        self._partial = b''
        self.last_id = ''
        self.count = 0

    def __repr__(self) -> str:
        return f'{type(self).__name__}(last_id={self.last_id!r})'

    @property
    def partial_bytes(self) -> int:
        """Size of the incomplete event that is held back."""
        return len(self._partial)

    def feed(self, data: bytes) -> bytes:
        """Return the events that are complete with this chunk."""
        data = self._partial + data
        end = max(data.rfind(b'\n\n') + 2, data.rfind(b'\r\n\r\n') + 4)
        if end < 4 and not data.endswith(b'\n\n'):
            end = 0
        complete, self._partial = data[:end], data[end:]
        self.count += complete.count(_END)
        self._record_last_id(complete)
        return complete

    def take_remainder(self) -> bytes:
        """Return and clear the rest of a stream that ended normally."""
        remainder, self._partial = self._partial, b''
        return remainder

    def discard_partial(self) -> None:
        """Discard an incomplete event."""
        self._partial = b''

    def _record_last_id(self, complete: bytes) -> None:
        at = complete.rfind(_ID)
        while at > 0 and complete[at - 1 : at] != b'\n':
            at = complete.rfind(_ID, 0, at)
        if at < 0:
            return
        line = complete[at + len(_ID) :].split(b'\n', 1)[0]
        self.last_id = line.strip().decode('latin1')
