"""Tracks prompts that decode runners prefill themselves."""

import dataclasses

from limpetroute.routing import placement
from limpetroute.routing import prefill_history
from limpetroute.routing import recent_samples
from limpetroute.routing import stream_times

# Time from sending a prompt to its first event without the prefill: the
# network delay both ways and the first decode step.
NETWORK_DELAY_S = 0.01
MIN_TOOK_S = 0.001
# Share of first events that come no later than planned.
OVERHEAD_QUANTILE = 0.8
# A prompt whose first event is not reported counts as being prefilled for this
# many times the expected time, and for at least this long.
OVERDUE_FACTOR = 2.0
MIN_OVERDUE_S = 1.5
# Share of the speed samples that are slower than what short prompts are
# planned with: their first events show the delays of the network and the hosts
# more than the prefill, and the fastest ones show them least.
SHORT_PROMPT_QUANTILE = 0.9
# An overdue prefill is repeatedly assumed to end this much later.
OVERDUE_STEP_S = 0.05

# Key of the samples of all runners, in place of a runner's identity.
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
    """Tracks prompts that decode runners prefill themselves.

    The streams of a decode runner pause during a prefill, and the pauses of
    two prefills within one of their events add up. So the next prefill waits
    until the entry host has reported the first event after the previous one,
    and until the runner's streams have had another event. Short prompts need
    not wait for that while `pending_tokens` stays small.
    """

    def __init__(self) -> None:
        self._prefills: dict[Key, _Prefill] = {}
        # Keys of the prefills of each runner, in the order of their beginning.
        self._keys: dict[str, dict[Key, None]] = {}
        # (time, tokens) of prefills that have ended since the last event of
        # the runner's streams; that event comes at the time.
        self._ended: dict[str, list[tuple[float, int]]] = {}
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
        """Time from a placement to the first event without the prefill."""
        return self._overheads.quantile(OVERHEAD_QUANTILE)

    def tokens_per_s(self, runner_id: str | None = None) -> float | None:
        """Return a runner's prefill speed, or None until it is measured.

        Prompts that wait at the runner seem slow and cached ones seem fast, so
        the median counts.

        Parameters
        ----------
        runner_id : str or None
            One runner, or None for all runners together.
        """
        samples = self._speeds.get(runner_id or ALL_RUNNERS)
        return samples.quantile(0.5) if samples is not None else None

    def short_prompt_tokens_per_s(self, runner_id: str) -> float | None:
        """Return a runner's speed for short prompts, or None if unmeasured."""
        samples = self._speeds.get(runner_id)
        if samples is None:
            return None
        return samples.quantile(SHORT_PROMPT_QUANTILE)

    def pending_tokens(self, runner_id: str, now_s: float) -> int:
        """Return the tokens prefilled since the last event of the streams.

        They include the prompts that are being prefilled now.
        """
        for key in list(self._keys.get(runner_id, ())):
            if now_s >= self._prefills[key].expires_s:
                self._end(key, now_s)
        running = self._keys.get(runner_id, ())
        tokens = sum(self._prefills[key].tokens for key in running)
        ended = self._ended.get(runner_id, ())
        return tokens + sum(one for at_s, one in ended if at_s > now_s)

    def begin(
        self,
        request: placement.PlacementRequest,
        runner_id: str,
        *,
        tokens: int,
        prefill_s: float,
        now_s: float,
    ) -> None:
        """Record a prompt that a decode runner prefills from now on.

        Parameters
        ----------
        request : PlacementRequest
            The stream.
        runner_id : str
            The decode runner.
        tokens : int
            Number of tokens it prefills; a prefill runner may prefill the
            rest.
        prefill_s : float
            Expected duration.
        now_s : float
            Monotonic time in seconds.
        """
        key = (request.request_id, request.attempt)
        self._end(key, 0.0)
        is_alone = all(
            self._prefills[other].ends_s <= now_s
            for other in self._keys.get(runner_id, ())
        )
        was_prefilled = self._history.note(runner_id, request)
        overdue_s = max(MIN_OVERDUE_S, prefill_s * OVERDUE_FACTOR)
        self._prefills[key] = _Prefill(
            runner_id=runner_id,
            tokens=tokens,
            ends_s=now_s + prefill_s,
            expires_s=now_s + overdue_s,
            # Some runner already has the prompt of a resumed stream in its
            # cache, which would distort the measured speed. So would other
            # prompts that are prefilled before this one.
            is_measurable=(
                is_alone and not was_prefilled and not request.goes_on
            ),
        )
        self._keys.setdefault(runner_id, {})[key] = None
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
        """Record a first event and measure the runner's speed.

        Parameters
        ----------
        key : tuple of str and int
            The stream and its attempt.
        took_s : float
            Time from sending the prompt to the first event.
        default_speed : float
            Tokens per second that are assumed for a runner without samples.
        free_s : float
            When the runner may prefill the next prompt.
        now_s : float
            Monotonic time in seconds.
        """
        prefill = self._end(key, free_s)
        if prefill is None:
            return
        ended = self._ended.get(prefill.runner_id, ())
        self._ended[prefill.runner_id] = [
            *(one for one in ended if one[0] > now_s),
            (free_s, prefill.tokens),
        ]
        if not prefill.is_measurable:
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
        """Remove a prompt whose stream is over."""
        prefill = self._prefills.get(key)
        if prefill is not None:
            self._end(key, 0.0)

    def reset_runner(self, runner_id: str) -> None:
        """Drop the prefills and the speed of a runner that has restarted."""
        for key, prefill in list(self._prefills.items()):
            if prefill.runner_id == runner_id:
                del self._prefills[key]
        self._keys.pop(runner_id, None)
        self._ended.pop(runner_id, None)
        self._current.pop(runner_id, None)
        self._free_s.pop(runner_id, None)
        self._speeds.pop(runner_id, None)
        self._history.reset_runner(runner_id)

    def free_s(self, runner_id: str, now_s: float) -> float:
        """Return when a runner may prefill the next prompt."""
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
        runner_id = prefill.runner_id
        del self._keys[runner_id][key]
        if not self._keys[runner_id]:
            del self._keys[runner_id]
        if self._current.get(runner_id) == key:
            del self._current[runner_id]
            self._free_s[runner_id] = free_s
        return prefill
