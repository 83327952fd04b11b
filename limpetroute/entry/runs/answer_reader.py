"""Reads the decode events of one attempt in order."""

import contextlib
import typing

from limpetroute.runners import engine_call
from limpetroute.runners import engine_failure

MAX_BUFFERED_EVENTS = 256

Events = typing.AsyncIterator[
    engine_call.DecodeEvent | engine_failure.EngineFailure
]


class AnswerReader:
    """Delivers the events of a decode stream once each and in order.

    An engine's events may arrive late, twice or out of order. The
    reader drops an event whose index was delivered before, and buffers
    an event whose index is too high until the missing ones arrive.

    Parameters
    ----------
    append : callable
        Called with each event's text, once and in order.
    first : int
        Engine's index of the first event to deliver.
    """

    __slots__ = ('_append', '_buffered', '_end', '_next_index')

    def __init__(
        self, *, append: typing.Callable[[str], None], first: int = 0
    ) -> None:
        self._append = append
        self._next_index = first
        self._buffered: dict[int, str] = {}
        self._end: engine_call.EndEvent | None = None

    def __repr__(self) -> str:
        return f'{type(self).__name__}(last_index={self.last_index!r})'

    @property
    def last_index(self) -> int:
        """Engine's index of the last delivered event; -1 for none."""
        return self._next_index - 1

    async def read(
        self, events: Events
    ) -> engine_call.EndEvent | engine_failure.EngineFailure:
        """Read events until the answer is complete or the stream fails."""
        stream = typing.cast(typing.AsyncGenerator[typing.Any, None], events)
        async with contextlib.aclosing(stream):
            async for event in events:
                if isinstance(event, engine_call.TokenEvent):
                    if not self._add(event):
                        return engine_failure.Failed(
                            reason='gap', sent=True, resumable=True
                        )
                elif isinstance(event, engine_call.EndEvent):
                    self._end = event
                else:
                    return event
                if self._is_complete():
                    assert self._end is not None
                    return self._end
        return engine_failure.Failed(
            reason='stream closed', sent=True, resumable=True
        )

    def _add(self, event: engine_call.TokenEvent) -> bool:
        """Deliver or buffer an event; return False if too many wait."""
        if event.index > self._next_index:
            self._buffered[event.index] = event.text
            return len(self._buffered) <= MAX_BUFFERED_EVENTS
        if event.index < self._next_index:
            return True
        self._append(event.text)
        self._next_index += 1
        while self._buffered:
            text = self._buffered.pop(self._next_index, None)
            if text is None:
                break
            self._append(text)
            self._next_index += 1
        return True

    def _is_complete(self) -> bool:
        # The end event may arrive before the last tokens, so the answer
        # is complete only once all its tokens have been delivered.
        end = self._end
        return end is not None and self._next_index >= end.completion_tokens
