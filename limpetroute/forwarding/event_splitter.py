"""Cuts a stream into whole events."""

_ID = b'id:'
_END = b'\n\n'


class EventSplitter:
    """Cuts a stream into whole events, across the borders of its parts.

    A runner that crashes may stop in the middle of an event. Only whole
    ones are passed on, so that what another runner adds begins cleanly.
    """

    __slots__ = ('_rest', 'count', 'last_id')

    def __init__(self) -> None:
        self._rest = b''
        self.last_id = ''
        self.count = 0

    def __repr__(self) -> str:
        return f'{type(self).__name__}(last_id={self.last_id!r})'

    def feed(self, data: bytes) -> bytes:
        """Return the whole events that are complete with this part."""
        data = self._rest + data
        end = max(data.rfind(b'\n\n') + 2, data.rfind(b'\r\n\r\n') + 4)
        if end < 4 and not data.endswith(b'\n\n'):
            end = 0
        whole, self._rest = data[:end], data[end:]
        self.count += whole.count(_END)
        self._note_id(whole)
        return whole

    def take_remainder(self) -> bytes:
        """Return what is left of a stream that ended well."""
        rest, self._rest = self._rest, b''
        return rest

    def discard_partial(self) -> None:
        """Forget a part of an event."""
        self._rest = b''

    def _note_id(self, whole: bytes) -> None:
        at = whole.rfind(_ID)
        while at > 0 and whole[at - 1 : at] != b'\n':
            at = whole.rfind(_ID, 0, at)
        if at < 0:
            return
        line = whole[at + len(_ID) :].split(b'\n', 1)[0]
        self.last_id = line.strip().decode('latin1')
