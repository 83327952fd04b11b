"""Splits a stream of server-sent events into complete events."""

import re

# A blank line ends an event. A line ends with LF, CRLF or CR.
_LINE_END = rb'(?:\r\n|\n|\r(?!\n))'
_EVENT_END = re.compile(_LINE_END + _LINE_END)
_ID = re.compile(rb'(?:^|[\r\n])id:([^\r\n]*)')


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
        end = 0
        for match in _EVENT_END.finditer(data):
            end = match.end()
            self.count += 1
        complete, self._partial = data[:end], data[end:]
        self._record_last_id(complete)
        return complete

    @property
    def is_inside_event(self) -> bool:
        """Whether an event has begun and is not complete."""
        return bool(self._partial.strip(b'\r\n'))

    def take_remainder(self) -> bytes:
        """Return and clear what follows the last event."""
        remainder, self._partial = self._partial, b''
        return remainder

    def discard_partial(self) -> None:
        """Discard an incomplete event."""
        self._partial = b''

    def _record_last_id(self, complete: bytes) -> None:
        ids = _ID.findall(complete)
        if ids:
            self.last_id = ids[-1].strip().decode('latin1')
