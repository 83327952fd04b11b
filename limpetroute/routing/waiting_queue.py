"""The streams that wait, in the order in which they are placed."""

import itertools
import typing

import sortedcontainers

from limpetroute.routing import waiting_stream

# First parts of the keys by which streams are sorted.
RESUMED = 0
IN_TIME = 1
LATE = 2

CanMeetTarget = typing.Callable[[waiting_stream.WaitingStream], bool]


class WaitingQueue:
    """The streams that wait, in the order in which they are placed.

    Begun streams go first: one is lost with all that was written for it
    unless it is resumed soon. Then come those that can still make their
    target, earliest target first, and of these first the ones that may be
    sent only once, as their callers can't come back. Late ones follow.
    """

    def __init__(self) -> None:
        self._streams: dict[str, waiting_stream.WaitingStream] = {}
        self._numbers = itertools.count()
        self._keys: dict[str, tuple[float, ...]] = {}
        self._order = sortedcontainers.SortedDict()

    def __repr__(self) -> str:
        return f'{type(self).__name__}(streams={len(self._streams)!r})'

    def __len__(self) -> int:
        return len(self._streams)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._streams

    def add(self, stream: waiting_stream.WaitingStream, in_time: bool) -> None:
        """Add a stream, which can make its target or not."""
        self.remove(stream.request_id)
        request = stream.request
        number = next(self._numbers)
        key: tuple[float, ...]
        if request.goes_on:
            key = (RESUMED, stream.sent_s, number)
        elif in_time:
            key = (IN_TIME, request.may_repeat, stream.due_s, number)
        else:
            key = (LATE, stream.sent_s, number)
        self._streams[stream.request_id] = stream
        self._keys[stream.request_id] = key
        self._order[key] = stream

    def remove(self, request_id: str) -> None:
        """Forget a stream, if it is known."""
        if self._streams.pop(request_id, None) is not None:
            del self._order[self._keys.pop(request_id)]

    def sort(self, in_time: CanMeetTarget) -> None:
        """Move streams that are late by now, or in time again."""
        for stream in list(self._order.values()):
            if stream.request.goes_on:
                continue
            was_in_time = self._keys[stream.request_id][0] == IN_TIME
            is_in_time = in_time(stream)
            if is_in_time != was_in_time:
                self.add(stream, is_in_time)

    def in_order(
        self, *, late_first: bool = False
    ) -> list[waiting_stream.WaitingStream]:
        """Return the streams in order.

        Parameters
        ----------
        late_first : bool
            Whether one late stream goes before those that are in time.
        """
        ordered = list(self._order.values())
        if not late_first:
            return ordered
        late = self._order.bisect_left((LATE,))
        if late == len(ordered):
            return ordered
        begun = self._order.bisect_left((IN_TIME,))
        ordered.insert(begun, ordered.pop(late))
        return ordered
