"""The prompts that decode runners read themselves."""

import dataclasses

from limpetroute.routing import placement
from limpetroute.routing import prefill_history
from limpetroute.routing import recent_samples
from limpetroute.routing import stream_times

# From the send of a prompt to its first event, beside the reading: the
# way to the runner and back, and the first step.
WAY_S = 0.01
LEAST_TOOK_S = 0.001
# The part of the first events that come no later than is planned.
PLANNED_PART = 0.8
# A prompt whose first event nobody has told of counts as being read for
# this many times the time that it should take, and no less than this.
OVERDUE_FACTOR = 2.0
LEAST_OVERDUE_S = 1.5
# How soon an overdue reading is taken to end, again and again.
OVERDUE_STEP_S = 0.05

# In the place of a runner's identity.
ALL_RUNNERS = ''

Key = tuple[str, int]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Reading:
    runner_id: str
    tokens: int
    ends_s: float
    lapses_s: float
    measures: bool


class SelfPrefillTracker:
    """The prompts that decode runners read themselves.

    A runner's streams pause while it reads, and two prompts that it reads
    within one of their events add up. So the next one waits until the
    first event of the last is there, which its entry host tells, and its
    streams have had an event since.
    """

    def __init__(self) -> None:
        self._readings: dict[Key, _Reading] = {}
        self._of_runner: dict[str, Key] = {}
        self._free_s: dict[str, float] = {}
        self._speeds: dict[str, recent_samples.RecentSamples] = {}
        self._overheads = recent_samples.RecentSamples(stream_times.OVERHEAD_S)
        self._read_prompts = prefill_history.PrefillHistory()

    def __repr__(self) -> str:
        return f'{type(self).__name__}(readings={len(self._readings)!r})'

    @property
    def overhead_s(self) -> float:
        """Time from a placement to the first event, beside the reading."""
        return self._overheads.quantile(PLANNED_PART)

    def tokens_per_s(self, runner_id: str | None = None) -> float | None:
        """Return how fast a runner reads; None until it is measured.

        Waits at the runner make single prompts seem slow, and ones that
        are in a cache make them seem fast: the middle one counts.

        Parameters
        ----------
        runner_id : str or None
            One runner, or None for what all of them tell.
        """
        known = self._speeds.get(runner_id or ALL_RUNNERS)
        return known.quantile(0.5) if known is not None else None

    def begin(
        self,
        request: placement.PlacementRequest,
        runner_id: str,
        *,
        tokens: int,
        read_s: float,
        now_s: float,
    ) -> None:
        """Take note of a prompt that a decode runner reads from now on.

        Parameters
        ----------
        ask : PlacementRequest
            The stream.
        runner_id : str
            The decode runner.
        tokens : int
            What it reads; a prefill runner may have read the rest.
        read_s : float
            Time that it should take.
        now_s : float
            A steady clock.
        """
        key = (request.request_id, request.attempt)
        was_read = self._read_prompts.note(runner_id, request)
        overdue_s = max(LEAST_OVERDUE_S, read_s * OVERDUE_FACTOR)
        self._readings[key] = _Reading(
            runner_id=runner_id,
            tokens=tokens,
            ends_s=now_s + read_s,
            lapses_s=now_s + overdue_s,
            # Of a resumed stream, some runner has the prompt in its cache.
            measures=not was_read and not request.goes_on,
        )
        self._of_runner[runner_id] = key

    def done(
        self,
        key: Key,
        took_s: float,
        *,
        usual_speed: float,
        free_s: float,
        now_s: float,
    ) -> None:
        """Take note of a first event.

        Parameters
        ----------
        key : tuple of str and int
            The stream and its attempt.
        took_s : float
            Time from the send to the first event.
        usual_speed : float
            Tokens a second that are taken for a runner's speed before it
            has read.
        free_s : float
            When the runner may read the next prompt.
        now_s : float
            A steady clock.
        """
        reading = self._end(key, free_s)
        if reading is None or not reading.measures:
            return
        speed = reading.tokens / max(LEAST_TOOK_S, took_s - WAY_S)
        for name in (reading.runner_id, ALL_RUNNERS):
            if name not in self._speeds:
                self._speeds[name] = recent_samples.RecentSamples(usual_speed)
            self._speeds[name].note(speed)
        self._overheads.note(now_s - reading.ends_s)

    def drop(self, key: Key) -> None:
        """Forget a prompt whose stream is over."""
        reading = self._readings.get(key)
        if reading is not None:
            self._end(key, 0.0)

    def reset_runner(self, runner_id: str) -> None:
        """Forget what a runner reads and how fast; it has started again."""
        for key, reading in list(self._readings.items()):
            if reading.runner_id == runner_id:
                del self._readings[key]
        self._of_runner.pop(runner_id, None)
        self._free_s.pop(runner_id, None)
        self._speeds.pop(runner_id, None)
        self._read_prompts.reset_runner(runner_id)

    def free_s(self, runner_id: str, now_s: float) -> float:
        """Return when a runner may read the next prompt."""
        key = self._of_runner.get(runner_id)
        if key is None:
            return max(now_s, self._free_s.get(runner_id, now_s))
        reading = self._readings[key]
        if now_s >= reading.lapses_s:
            self._end(key, now_s)
            return now_s
        return max(reading.ends_s, now_s + OVERDUE_STEP_S)

    def _end(self, key: Key, free_s: float) -> _Reading | None:
        reading = self._readings.pop(key, None)
        if reading is None:
            return None
        if self._of_runner.get(reading.runner_id) == key:
            del self._of_runner[reading.runner_id]
            self._free_s[reading.runner_id] = free_s
        return reading
