"""A virtual clock: time passes only from event to event."""

import heapq
import typing


class Timer:
    """One event to come; `cancel` takes it back."""

    __slots__ = ('call',)

    def __init__(self, *, call: typing.Callable[[], None]) -> None:
        self.call: typing.Callable[[], None] | None = call

    def cancel(self) -> None:
        """Keep the event from happening."""
        self.call = None


class Clock:
    """Runs events in the order of their time, then of their making."""

    __slots__ = ('_heap', '_made', 'now_s')

    def __init__(self) -> None:
        self.now_s = 0.0
        self._made = 0
        self._heap: list[tuple[float, int, Timer]] = []

    def at(self, when_s: float, call: typing.Callable[[], None]) -> Timer:
        """Run ``call`` at ``when_s``, or now if that is past."""
        timer = Timer(call=call)
        self._made += 1
        due_s = max(when_s, self.now_s)
        heapq.heappush(self._heap, (due_s, self._made, timer))
        return timer

    def after(self, delay_s: float, call: typing.Callable[[], None]) -> Timer:
        """Run ``call`` in ``delay_s``."""
        return self.at(self.now_s + delay_s, call)

    def run_until(self, end_s: float) -> None:
        """Run all events up to ``end_s``."""
        while self._heap and self._heap[0][0] <= end_s:
            due_s, _, timer = heapq.heappop(self._heap)
            if timer.call is None:
                continue
            self.now_s = due_s
            timer.call()
        self.now_s = end_s
