"""Puts the events of one try into the record, in order."""

import contextlib
import typing

from limpetroute.runners import engine_call
from limpetroute.runners import engine_failure

MAX_AHEAD = 256

Events = typing.AsyncIterator[
    engine_call.DecodeEvent | engine_failure.EngineFailure
]


class AnswerReader:
    """Drops what came before and holds back what came too early.

    Engine events may arrive late, twice or out of order. The next word
    is the one whose index follows the last; an earlier index is here
    already, a later one waits for the gap to fill.

    Parameters
    ----------
    append : callable
        Takes each event's text, in order and once.
    first : int
        Index, at the engine, of the first event that is not here yet.
    """

    __slots__ = ('_ahead', '_append', '_next', '_end')

    def __init__(
        self, *, append: typing.Callable[[str], None], first: int = 0
    ) -> None:
        self._append = append
        self._next = first
        self._ahead: dict[int, str] = {}
        self._end: engine_call.EndEvent | None = None

    def __repr__(self) -> str:
        return f'{type(self).__name__}(last_index={self.last_index!r})'

    @property
    def last_index(self) -> int:
        """Index, at the engine, of the last event taken; -1 for none."""
        return self._next - 1

    async def read(
        self, events: Events
    ) -> engine_call.EndEvent | engine_failure.EngineFailure:
        """Take events until the answer is whole or the stream fails."""
        closing = typing.cast(typing.AsyncGenerator[typing.Any, None], events)
        async with contextlib.aclosing(closing):
            async for event in events:
                if isinstance(event, engine_call.TokenEvent):
                    if not self._take(event):
                        return engine_failure.Failed(
                            reason='gap', sent=True, resumable=True
                        )
                elif isinstance(event, engine_call.EndEvent):
                    self._end = event
                else:
                    return event
                if self._is_whole():
                    assert self._end is not None
                    return self._end
        return engine_failure.Failed(
            reason='stream closed', sent=True, resumable=True
        )

    def _take(self, event: engine_call.TokenEvent) -> bool:
        if event.index > self._next:
            self._ahead[event.index] = event.text
            return len(self._ahead) <= MAX_AHEAD
        if event.index < self._next:
            return True
        self._append(event.text)
        self._next += 1
        while self._ahead:
            text = self._ahead.pop(self._next, None)
            if text is None:
                break
            self._append(text)
            self._next += 1
        return True

    def _is_whole(self) -> bool:
        # An end that overtook the last words does not cut them off.
        end = self._end
        return end is not None and self._next >= end.completion_tokens
