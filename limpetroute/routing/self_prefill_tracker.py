"""The prompts that decode runners read themselves."""

import dataclasses

from limpetroute.routing import placement
from limpetroute.routing import prefill_history
from limpetroute.routing import recent_samples
from limpetroute.routing import stream_times

# From the send of a prompt to its first event, beside the reading: the
# way to the runner and back, and the first step.
NETWORK_DELAY_S = 0.01
MIN_TOOK_S = 0.001
# The part of the first events that come no later than is planned.
OVERHEAD_QUANTILE = 0.8
# A prompt whose first event nobody has told of counts as being read for
# this many times the time that it should take, and no less than this.
OVERDUE_FACTOR = 2.0
MIN_OVERDUE_S = 1.5
# How soon an overdue reading is taken to end, again and again.
OVERDUE_STEP_S = 0.05

# In the place of a runner's identity.
ALL_RUNNERS = ''

Key = tuple[str, int]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Prefill:
    runner_id: str
    tokens: int
    ends_s: float
    expires_s: float
    is_measurable: bool


class SelfPrefillTracker:
    """The prompts that decode runners read themselves.

    A runner's streams pause while it reads, and two prompts that it reads
    within one of their events add up. So the next one waits until the
    first event of the last is there, which its entry host tells, and its
    streams have had an event since.
    """

    def __init__(self) -> None:
        self._prefills: dict[Key, _Prefill] = {}
        self._current: dict[str, Key] = {}
        self._free_s: dict[str, float] = {}
        self._speeds: dict[str, recent_samples.RecentSamples] = {}
        self._overheads = recent_samples.RecentSamples(
            stream_times.FIRST_EVENT_OVERHEAD_S
        )
        self._history = prefill_history.PrefillHistory()

    def __repr__(self) -> str:
        return f'{type(self).__name__}(prefills={len(self._prefills)!r})'

    @property
    def overhead_s(self) -> float:
        """Time from a placement to the first event, beside the reading."""
        return self._overheads.quantile(OVERHEAD_QUANTILE)

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
        prefill_s: float,
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
        was_prefilled = self._history.note(runner_id, request)
        overdue_s = max(MIN_OVERDUE_S, prefill_s * OVERDUE_FACTOR)
        self._prefills[key] = _Prefill(
            runner_id=runner_id,
            tokens=tokens,
            ends_s=now_s + prefill_s,
            expires_s=now_s + overdue_s,
            # Of a resumed stream, some runner has the prompt in its cache.
            is_measurable=not was_prefilled and not request.goes_on,
        )
        self._current[runner_id] = key

    def note_first_event(
        self,
        key: Key,
        took_s: float,
        *,
        default_speed: float,
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
        prefill = self._end(key, free_s)
        if prefill is None or not prefill.is_measurable:
            return
        speed = prefill.tokens / max(MIN_TOOK_S, took_s - NETWORK_DELAY_S)
        for name in (prefill.runner_id, ALL_RUNNERS):
            if name not in self._speeds:
                self._speeds[name] = recent_samples.RecentSamples(
                    default_speed
                )
            self._speeds[name].note(speed)
        self._overheads.note(now_s - prefill.ends_s)

    def drop(self, key: Key) -> None:
        """Forget a prompt whose stream is over."""
        prefill = self._prefills.get(key)
        if prefill is not None:
            self._end(key, 0.0)

    def reset_runner(self, runner_id: str) -> None:
        """Forget what a runner reads and how fast; it has started again."""
        for key, prefill in list(self._prefills.items()):
            if prefill.runner_id == runner_id:
                del self._prefills[key]
        self._current.pop(runner_id, None)
        self._free_s.pop(runner_id, None)
        self._speeds.pop(runner_id, None)
        self._history.reset_runner(runner_id)

    def free_s(self, runner_id: str, now_s: float) -> float:
        """Return when a runner may read the next prompt."""
        key = self._current.get(runner_id)
        if key is None:
            return max(now_s, self._free_s.get(runner_id, now_s))
        prefill = self._prefills[key]
        if now_s >= prefill.expires_s:
            self._end(key, now_s)
            return now_s
        return max(prefill.ends_s, now_s + OVERDUE_STEP_S)

    def _end(self, key: Key, free_s: float) -> _Prefill | None:
        prefill = self._prefills.pop(key, None)
        if prefill is None:
            return None
        if self._current.get(prefill.runner_id) == key:
            del self._current[prefill.runner_id]
            self._free_s[prefill.runner_id] = free_s
        return prefill
