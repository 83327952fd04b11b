"""How long a decode runner's streams pause while it reads a prompt."""

import math

from limpetroute.routing import usual_size

# Between two events of a stream, until it has been measured.
FIRST_EVENT_S = 0.06
# Measured paces say little one by one: pauses have other causes. At
# first, the guess counts for as much as this many of them.
FIRST_WEIGHT = 8
LEAST_PACE = 0.01
# Part of the longest good pause that is planned for: pauses differ by a
# tenth from one prompt to the next (6,500 tokens: 325 ms, 11,000: 466).
PLANNED_PART = 0.9


class ReadingPause:
    """How long a decode runner's streams pause while it reads a prompt.

    Between two pieces of a prompt, a runner makes one token for each of
    its streams: they go on at a slower pace. An event that has seventy
    tokens waits until the whole prompt is read; one that has eight comes
    after eight pieces of it.

    Learned from the longest pause of each stream, and from the longest
    prompt that its runner read beside it.

    Parameters
    ----------
    first_pace : float
        Expected pace beside a reading, as a part of the usual one.
    """

    def __init__(self, *, first_pace: float) -> None:
        self._pace = usual_size.UsualSize(first_pace)
        for _ in range(FIRST_WEIGHT):
            self._pace.note(first_pace)
        self._event = usual_size.UsualSize(FIRST_EVENT_S)

    def __repr__(self) -> str:
        return f'{type(self).__name__}(pace={self.pace!r})'

    @property
    def pace(self) -> float:
        """How fast streams go on beside a reading; 1 if as usual."""
        return self._pace.mean

    def note(self, pause_s: float, read_s: float) -> None:
        """Take note of a stream's longest pause.

        ``read_s`` is the time of the longest reading beside it; 0 for
        none.
        """
        if not read_s:
            self._event.note(pause_s)
            return
        event_s = self._event.mean
        if pause_s <= read_s:
            pace = event_s / pause_s
        else:
            pace = 1 - (pause_s - event_s) / read_s
        self._pace.note(min(1.0, max(LEAST_PACE, pace)))

    def longest_reading_s(self, limit_s: float) -> float:
        """Return how long a reading may take for pauses to stay good."""
        event_s = self._event.mean
        limit_s *= PLANNED_PART
        if event_s / self.pace <= limit_s:
            return math.inf
        return max(0.0, limit_s - event_s) / (1 - self.pace)
