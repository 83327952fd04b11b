"""A runner whose batch goes on in steps and reads prompts between them."""

import collections
import dataclasses
import heapq
import math

from limpetroute.bench import engine_shape


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EngineEvent:
    """An event of a stream.

    Parameters
    ----------
    at_s : float
        When the engine made it.
    name : str
        The stream.
    last : bool
        Whether the answer ends with it.
    """

    at_s: float
    name: str
    last: bool


@dataclasses.dataclass(kw_only=True, slots=True)
class _Stream:
    name: str
    to_read: float
    to_write: int


class BatchEngine:
    """A decode runner: steps, and pieces of one prompt between them.

    Parameters
    ----------
    shape : EngineShape
        How fast it is.
    now_s : float
        When it starts.
    """

    def __init__(
        self, *, shape: engine_shape.EngineShape, now_s: float = 0.0
    ) -> None:
        self._shape = shape
        self._now_s = now_s
        self._steps = 0
        self._writing: dict[str, _Stream] = {}
        self._due: list[tuple[int, str]] = []
        self._reading: collections.deque[_Stream] = collections.deque()
        self._queue: collections.deque[_Stream] = collections.deque()

    def __repr__(self) -> str:
        return (
            f'{type(self).__name__}(writing={len(self._writing)!r}, '
            f'reading={len(self._reading)!r}, queue={len(self._queue)!r})'
        )

    @property
    def streams(self) -> int:
        """Slots that are taken."""
        return len(self._writing) + len(self._reading)

    def submit(self, name: str, *, read_tokens: int, tokens: int) -> bool:
        """Take a stream; False where there is no room.

        Parameters
        ----------
        name : str
            Names the stream.
        read_tokens : int
            Tokens to read before the first event.
        tokens : int
            Length of the answer.
        """
        stream = _Stream(name=name, to_read=read_tokens, to_write=tokens)
        if self.streams < self._shape.slots:
            self._reading.append(stream)
        elif len(self._queue) < self._shape.queue:
            self._queue.append(stream)
        else:
            return False
        return True

    def cancel(self, name: str) -> None:
        """Drop a stream."""
        self._writing.pop(name, None)
        for waiting in (self._reading, self._queue):
            for one in list(waiting):
                if one.name == name:
                    waiting.remove(one)
        self._admit()

    def advance(self, until_s: float) -> list[EngineEvent]:
        """Go on until then, and return the events made meanwhile."""
        events: list[EngineEvent] = []
        while self._now_s < until_s:
            if not self._writing and not self._reading:
                self._now_s = until_s
                break
            if self._reading:
                self._read_piece(events)
                continue
            self._write_until(until_s, events)
        return events

    def _admit(self) -> None:
        while self._queue and self.streams < self._shape.slots:
            self._reading.append(self._queue.popleft())

    def _read_piece(self, events: list[EngineEvent]) -> None:
        shape = self._shape
        stream = self._reading[0]
        piece = min(stream.to_read, shape.self_read_chunk_tokens)
        self._now_s += piece / shape.self_read_tokens_per_s
        stream.to_read -= piece
        if self._writing:
            self._now_s += shape.step_of_s(len(self._writing))
            self._steps += 1
            self._emit(events)
        if stream.to_read > 0:
            return
        if self._reading and self._reading[0] is stream:
            self._reading.popleft()
        self._now_s += shape.begin_s * shape.slow_factor
        self._writing[stream.name] = stream
        self._make_event(stream, events)

    def _write_until(self, until_s: float, events: list[EngineEvent]) -> None:
        """Go on to the next event, or to the end of the time."""
        step_s = self._shape.step_of_s(len(self._writing))
        while self._due and self._due[0][1] not in self._writing:
            heapq.heappop(self._due)
        steps = math.ceil((until_s - self._now_s) / step_s)
        if self._due:
            steps = min(steps, self._due[0][0] - self._steps)
        self._steps += max(1, steps)
        self._now_s += max(1, steps) * step_s
        self._emit(events)

    def _emit(self, events: list[EngineEvent]) -> None:
        while self._due and self._due[0][0] <= self._steps:
            _, name = heapq.heappop(self._due)
            stream = self._writing.get(name)
            if stream is not None:
                self._make_event(stream, events)

    def _make_event(self, stream: _Stream, events: list[EngineEvent]) -> None:
        stream.to_write -= self._shape.tokens_per_event
        last = stream.to_write <= 0
        events.append(
            EngineEvent(at_s=self._now_s, name=stream.name, last=last)
        )
        if last:
            del self._writing[stream.name]
            self._admit()
            return
        due = self._steps + self._shape.tokens_per_event
        heapq.heappush(self._due, (due, stream.name))
