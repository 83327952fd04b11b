"""Tracks when runners are free to prefill the next prompt."""

import collections
import dataclasses
import typing

import sortedcontainers

from limpetroute.routing import free_memory_index
from limpetroute.routing import moving_mean
from limpetroute.routing import placement
from limpetroute.routing import prefill_history
from limpetroute.routing import prefill_pause
from limpetroute.routing import recent_samples
from limpetroute.routing import reservations
from limpetroute.routing import runner_info
from limpetroute.routing import runner_pace
from limpetroute.routing import self_prefill_tracker
from limpetroute.routing import stage_rates
from limpetroute.routing import stream_times

# A decode runner prefills a prompt that exceeds the allowed gap only if this
# delays no more on-time streams than it serves.
MAX_DELAYED_STREAMS = 1
# In pools of up to this many decode runners, each runner is checked.
SMALL_POOL_RUNNERS = 8
# Runners of a service differ in speed: a runner that has not prefilled yet may
# be slower than the others.
UNMEASURED_SPEED_RATIO = 0.85
# Longest gap between events if the route sets none.
DEFAULT_PAUSE_TARGET_S = 0.3
# Prefills queued at a prefill runner, in seconds. A queued prompt cannot be
# overtaken by one that is due sooner, and a host that waits too long considers
# the runner unresponsive. With less than two prompts queued, the runner would
# be idle between two prefills.
MAX_QUEUE_S = 0.25
# A prefill without a report for this long is considered over: by then its host
# has given the runner up as unresponsive.
PREFILL_TIMEOUT_S = 1.5
# Time of a prefill's messages: to the entry host, to the runner and back, and
# to the leader.
NETWORK_DELAY_S = 0.02
# Share of the longest allowed gap that prompts which a decode runner prefills
# at the same time may take together. If short prompts waited for each other's
# first event, each of them would occupy the runner for a round trip, and most
# of its slots would stay free.
SHARED_PREFILL_SHARE = 0.1
# A first event that comes later than this is delayed by a fault, which the
# next streams are not planned for.
MAX_START_OVERHEAD_S = 0.3
# Weight of one prefill in a runner's measured speed.
SPEED_WEIGHT = 1 / 8


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Prefill:
    runner_id: str
    tokens: int
    queued_tokens: int
    # Prompts that the runner had before this one.
    beside: int
    started_s: float
    is_cached: bool
    # Whether neither this prompt nor those queued before it are in the
    # runner's cache.
    is_measurable: bool


class PrefillQueue:
    """Tracks when runners are free to prefill the next prompt.

    A prefill runner prefills one prompt after another. Its queue consists of
    the prompts that it was given and whose end has not been reported. If the
    queue were computed from a speed alone, that of a slower runner would grow
    unnoticed until its hosts give the prefills up.

    Parameters
    ----------
    reserved : Reservations
        The reserved slots.
    prompt_size : MovingMean
        Mean length of the prompts.
    """

    def __init__(
        self,
        *,
        reserved: reservations.Reservations,
        prompt_size: moving_mean.MovingMean,
    ) -> None:
        self._reservations = reserved
        # In the order in which they were placed.
        self._prefills: dict[tuple[str, int], _Prefill] = {}
        self._queued: dict[str, int] = {}
        # Number of these prompts at each prefill runner.
        self._counts: collections.Counter[str] = collections.Counter()
        self._prefill_runners: dict[str, runner_info.RunnerInfo] = {}
        self._decode_runners = free_memory_index.FreeMemoryIndex()
        self._order = sortedcontainers.SortedList()
        self._key_of: dict[str, tuple[float, str]] = {}
        self._speeds: dict[str, float] = {}
        self._speed_sum = 0.0
        self._self_prefills = self_prefill_tracker.SelfPrefillTracker()
        self._prompt_size = prompt_size
        self._history = prefill_history.PrefillHistory()
        # Streams that wait for the same gap at a runner, by identity.
        self.shared_pauses: typing.Mapping[str, int] = {}
        # Number of cached prompts that are queued at each prefill runner.
        self._cached: collections.Counter[str] = collections.Counter()
        self._uses_speeds = False
        self._start_overheads = recent_samples.RecentSamples(
            stream_times.FIRST_EVENT_OVERHEAD_S
        )
        # Limits by the runners' answers; None if they are not in effect.
        self.pace: runner_pace.RunnerPace | None = None

    def __repr__(self) -> str:
        return f'{type(self).__name__}(prefills={len(self._prefills)!r})'

    @property
    def tokens_per_s(self) -> float:
        """Mean measured speed of the prefill runners in tokens per second."""
        if not self._speeds:
            return stage_rates.DEFAULT_PREFILL_TOKENS_PER_S
        return self._speed_sum / len(self._speeds)

    def set_runners(
        self,
        prefill_runners: typing.Iterable[runner_info.RunnerInfo],
        decode_runners: free_memory_index.FreeMemoryIndex | None = None,
    ) -> None:
        """Replace the runners that may be given prompts."""
        if decode_runners is not None:
            self._decode_runners = decode_runners
        self._prefill_runners = {one.runner_id: one for one in prefill_runners}
        self._order.clear()
        self._key_of.clear()
        for runner_id in self._prefill_runners:
            self._sort(runner_id)

    def use_speeds(self, uses_speeds: bool) -> None:
        """Set whether the speed of each runner decides, or their mean."""
        self._uses_speeds = uses_speeds
        for runner_id in self._prefill_runners:
            self._sort(runner_id)

    @property
    def start_overhead_s(self) -> float:
        """Time from the end of a prefill to the first event.

        Unless the speed of each runner decides, it is a constant.
        """
        if not self._uses_speeds:
            return stream_times.FIRST_EVENT_OVERHEAD_S
        return self._start_overheads.quantile(
            self_prefill_tracker.OVERHEAD_QUANTILE
        )

    def note_start_overhead(self, overhead_s: float) -> None:
        """Record the time from a prefill's planned end to the first event."""
        self._start_overheads.note(
            min(MAX_START_OVERHEAD_S, max(0.0, overhead_s))
        )

    def factor(self, runner_id: str) -> float | None:
        """Return a runner's speed as a ratio to the mean; None if unknown."""
        known = self._speeds.get(runner_id)
        return known / self.tokens_per_s if known is not None else None

    def first_free(
        self,
        now_s: float,
        request: placement.PlacementRequest | None = None,
    ) -> runner_info.RunnerInfo | None:
        """Return the prefill runner with the shortest queue, or None.

        If the speed of each runner decides, it is the one that would be done
        with another prompt first. Then, runners that may be given none now,
        by their queue or their pace, come after the others.

        Parameters
        ----------
        now_s : float
            Monotonic time in seconds.
        request : PlacementRequest or None
            Skips the runners that must not be chosen for it.
        """
        self.expire(now_s)
        limited = None
        for _, runner_id in self._order:
            if request is None or request.accepts(runner_id, now_s):
                runner = self._prefill_runners[runner_id]
                if not self._uses_speeds or self._may_queue(runner_id, now_s):
                    return runner
                limited = limited or runner
        return limited

    def may_queue(
        self, prefill_runner: runner_info.RunnerInfo, now_s: float
    ) -> bool:
        """Return whether a prefill runner may be given another prompt."""
        self.expire(now_s)
        return self._may_queue(prefill_runner.runner_id, now_s)

    def prefill_count(self, runner_id: str) -> int:
        """Return the number of prompts in a prefill runner's queue."""
        return self._counts[runner_id]

    def queue_s(
        self, prefill_runner: runner_info.RunnerInfo, now_s: float
    ) -> float:
        """Return the time that a prefill runner needs for its queue."""
        self.expire(now_s)
        return self._queue_s(prefill_runner.runner_id)

    @property
    def mean_prompt_tokens(self) -> int:
        """Mean length of the prompts."""
        return round(self._prompt_size.mean)

    @property
    def mean_prefill_s(self) -> float:
        """Mean time that a prefill runner takes for a prompt."""
        return self._prompt_size.mean / self.tokens_per_s

    @property
    def mean_first_event_delay_s(self) -> float:
        """Mean time from a placement to the first event, without a queue."""
        if self._prefill_runners:
            return self.start_overhead_s + self.mean_prefill_s
        tokens_per_s = self.self_prefill_tokens_per_s()
        prefill_s = self._prompt_size.mean / tokens_per_s
        return self._self_prefills.overhead_s + prefill_s

    def ready_s(
        self,
        request: placement.PlacementRequest,
        prefill_runner: runner_info.RunnerInfo | None,
        now_s: float,
    ) -> float:
        """Return when the first event of a prompt placed now is expected."""
        queue_s = 0.0
        if prefill_runner is not None:
            queue_s = self.queue_s(prefill_runner, now_s)
        has_prefill_runner = prefill_runner is not None
        return (
            now_s
            + queue_s
            + self.first_event_delay_s(
                request, has_prefill_runner, prefill_runner
            )
        )

    def first_event_delay_s(
        self,
        request: placement.PlacementRequest,
        has_prefill_runner: bool,
        prefill_runner: runner_info.RunnerInfo | None = None,
    ) -> float:
        """Return the expected time from a placement to the first event.

        It does not include the queue of the prefill runner.

        Parameters
        ----------
        request : PlacementRequest
            The stream.
        has_prefill_runner : bool
            Whether a prefill runner prefills its prompt.
        prefill_runner : RunnerInfo or None
            That runner; None if it is not chosen yet.
        """
        if has_prefill_runner:
            speed = self.tokens_per_s
            if self._uses_speeds and (prefill_runner or self._order):
                runner_id = (
                    prefill_runner.runner_id
                    if prefill_runner
                    else self._order[0][1]
                )
                speed = self._speed(runner_id)
            prefill_s = request.prefill_tokens / speed
            return self.start_overhead_s + prefill_s
        tokens = request.self_prefill_tokens
        if not tokens:
            return stream_times.FIRST_EVENT_OVERHEAD_S
        prefill_s = tokens / self.self_prefill_tokens_per_s()
        return self._self_prefills.overhead_s + prefill_s

    def prefill_tokens_per_s(
        self, prefill_runner: runner_info.RunnerInfo | None
    ) -> float:
        """Return the speed at which a prompt is prefilled.

        Parameters
        ----------
        prefill_runner : RunnerInfo or None
            The prefill runner; None if a decode runner prefills the prompt.

        Returns
        -------
        float
            Tokens per second.
        """
        if prefill_runner is None:
            return self.self_prefill_tokens_per_s()
        return self._speed(prefill_runner.runner_id)

    def pause_beside_s(
        self,
        request: placement.PlacementRequest,
        prefill_runner: runner_info.RunnerInfo | None,
    ) -> float:
        """Return the longest gap between events that a prefill causes."""
        tokens = request.self_prefill_tokens
        if prefill_runner is not None or not tokens:
            return 0.0
        prefill_s = tokens / self.self_prefill_tokens_per_s()
        return prefill_pause.pause_s(
            prefill_s,
            event_s=self._event_s,
            pace_beside=self.pace_beside_prefill,
        )

    def self_prefill_tokens_per_s(self, runner_id: str | None = None) -> float:
        """Return the prefill speed of decode runners in tokens per second.

        Until it is measured, it is derived from that of prefill runners.

        Parameters
        ----------
        runner_id : str or None
            One runner; None for all runners together.
        """
        measured = self._self_prefills.tokens_per_s(runner_id)
        return (
            measured
            if measured is not None
            else self._default_self_prefill_speed
        )

    @property
    def _event_s(self) -> float:
        """Usual time between two events on the slowest runner of a small pool.

        In a large pool, one slow runner does not set the pace.
        """
        if not 0 < len(self._decode_runners) <= SMALL_POOL_RUNNERS:
            return self._reservations.event_s
        return max(
            self._reservations.event_s_at(one.runner_id)
            for one in self._decode_runners
        )

    @property
    def _default_self_prefill_speed(self) -> float:
        usual = self.tokens_per_s * stage_rates.SELF_PREFILL_SPEED_RATIO
        return usual * UNMEASURED_SPEED_RATIO

    @property
    def pace_beside_prefill(self) -> float:
        """Decode speed during a prefill as a share of the usual one."""
        return prefill_pause.pace(self._reservations.tokens_per_s)

    @property
    def decodes_during_prefill(self) -> bool:
        """Whether streams progress while their runner prefills a prompt.

        If they almost stop, each prompt that a decode runner prefills makes an
        event of all its streams late.
        """
        return prefill_pause.is_pace_sufficient(self.pace_beside_prefill)

    @property
    def self_prefill_interval_s(self) -> float:
        """Mean time between two prompts that a decode runner may prefill."""
        tokens = max(1.0, self._prompt_size.mean)
        prefill_s = tokens / self.self_prefill_tokens_per_s()
        shared_s = DEFAULT_PAUSE_TARGET_S * SHARED_PREFILL_SHARE
        return (prefill_s + self._event_s) / max(1.0, shared_s // prefill_s)

    def add(
        self,
        request: placement.PlacementRequest,
        prefill_runner: runner_info.RunnerInfo | None,
        decode_runner: runner_info.RunnerInfo,
        now_s: float,
    ) -> None:
        """Record which runners prefill a prompt from now on.

        A decode runner prefills the part of the answer that was written
        before, even if a prefill runner prefills the prompt.
        """
        self_prefill_tokens = (
            request.written_tokens
            if prefill_runner
            else request.self_prefill_tokens
        )
        if self_prefill_tokens:
            queue_s = 0.0
            if prefill_runner is not None:
                queue_s = self.queue_s(prefill_runner, now_s)
                queue_s += request.prompt_tokens / self._speed(
                    prefill_runner.runner_id
                )
            speed = self.self_prefill_tokens_per_s(decode_runner.runner_id)
            self._self_prefills.begin(
                request,
                decode_runner.runner_id,
                tokens=self_prefill_tokens,
                prefill_s=queue_s + self_prefill_tokens / speed,
                now_s=now_s,
            )
        if prefill_runner is None:
            return
        self._remove((request.request_id, request.attempt))
        self.expire(now_s)
        # Some runner has prefilled the prompt of a stream that goes on, maybe
        # before this leader was elected.
        was_prefilled = self._history.note(prefill_runner.runner_id, request)
        is_cached = was_prefilled or request.goes_on
        self._cached[prefill_runner.runner_id] += is_cached
        ahead = self._queued.get(prefill_runner.runner_id, 0)
        self._queued[prefill_runner.runner_id] = ahead + request.prompt_tokens
        self._prefills[(request.request_id, request.attempt)] = _Prefill(
            runner_id=prefill_runner.runner_id,
            tokens=request.prompt_tokens,
            queued_tokens=ahead + request.prompt_tokens,
            beside=self._counts[prefill_runner.runner_id],
            started_s=now_s,
            is_cached=is_cached,
            is_measurable=not self._cached[prefill_runner.runner_id],
        )
        self._counts[prefill_runner.runner_id] += 1
        if self.pace is not None:
            self.pace.note_start(prefill_runner.runner_id, now_s)
        self._sort(prefill_runner.runner_id)

    def note_prefill_done(
        self, request_id: str, attempt: int, now_s: float
    ) -> str | None:
        """Record the end of a prefill, and measure the runner's speed.

        Returns
        -------
        str or None
            Identity of the prefill runner; None if the prefill is unknown.
        """
        prefill = self._remove((request_id, attempt))
        if prefill is None:
            return None
        if self.pace is not None:
            self._note_pace(self.pace, prefill, now_s)
        if not prefill.is_measurable:
            return prefill.runner_id
        took_s = max(0.001, now_s - prefill.started_s - NETWORK_DELAY_S)
        speed = self._speed(prefill.runner_id)
        measured = min(prefill.queued_tokens / took_s, 2 * speed)
        usual = self._prompt_size.mean
        weight = SPEED_WEIGHT * min(1.0, prefill.queued_tokens / usual)
        speed += (measured - speed) * weight
        self._speed_sum += speed - self._speeds.get(prefill.runner_id, 0.0)
        self._speeds[prefill.runner_id] = speed
        self._sort(prefill.runner_id)
        return prefill.runner_id

    def note_first_event(
        self, request_id: str, attempt: int, took_s: float, now_s: float
    ) -> None:
        """Record the first event after a decode runner's own prefill.

        Parameters
        ----------
        request_id, attempt : str, int
            Identify the stream.
        took_s : float
            Time from sending the prompt to the event.
        now_s : float
            Monotonic time in seconds.
        """
        self._self_prefills.note_first_event(
            (request_id, attempt),
            took_s,
            default_speed=self._default_self_prefill_speed,
            free_s=now_s + self._event_s,
            now_s=now_s,
        )

    def drop(self, request_id: str, attempt: int) -> None:
        """Remove a prefill that failed or is no longer needed."""
        self._remove((request_id, attempt))
        self._self_prefills.drop((request_id, attempt))

    def reset_runner(self, runner_id: str) -> None:
        """Drop the prefills and the speed of a runner that has restarted."""
        for key, prefill in list(self._prefills.items()):
            if prefill.runner_id == runner_id:
                self._remove(key)
        self._history.reset_runner(runner_id)
        self._speed_sum -= self._speeds.pop(runner_id, 0.0)
        self._sort(runner_id)
        self._self_prefills.reset_runner(runner_id)

    def may_self_prefill(
        self,
        decode_runner: runner_info.RunnerInfo,
        tokens: int,
        now_s: float,
        *,
        pause_target_s: float | None = None,
    ) -> bool:
        """Return whether a decode runner may prefill a prompt now.

        A decode runner prefills one prompt at a time, because its streams
        pause meanwhile. Only prompts that together take a small part of the
        longest allowed gap are prefilled side by side.

        Parameters
        ----------
        decode_runner : RunnerInfo
            The runner.
        tokens : int
            Number of tokens it would prefill.
        now_s : float
            Monotonic time in seconds.
        pause_target_s : float or None
            Longest gap between events that the prompt's route allows.
        """
        if not self._reservations.stream_count(decode_runner.runner_id):
            return True
        start_s = self.self_prefill_start_s(
            decode_runner, tokens, now_s, pause_target_s=pause_target_s
        )
        return start_s <= now_s

    def self_prefill_start_s(
        self,
        decode_runner: runner_info.RunnerInfo,
        tokens: int,
        now_s: float,
        *,
        pause_target_s: float | None = None,
    ) -> float:
        """Return when a decode runner may prefill a prompt.

        The parameters are those of `may_self_prefill`.
        """
        free_s = self._self_prefills.free_s(decode_runner.runner_id, now_s)
        if free_s <= now_s:
            return free_s
        runner_id = decode_runner.runner_id
        speed = self._self_prefills.short_prompt_tokens_per_s(runner_id)
        speed = speed or self._default_self_prefill_speed
        limit_s = pause_target_s or DEFAULT_PAUSE_TARGET_S
        most_tokens = limit_s * SHARED_PREFILL_SHARE * speed
        if tokens > most_tokens:
            return free_s
        tokens += self._self_prefills.pending_tokens(runner_id, now_s)
        if tokens > most_tokens:
            return free_s
        pause_s = prefill_pause.pause_s(
            tokens / speed,
            event_s=self._reservations.event_s_at(runner_id),
            pace_beside=self.pace_beside_prefill,
        )
        return free_s if prefill_pause.is_too_long(pause_s, limit_s) else now_s

    def may_prefill_long(
        self, decode_runner: runner_info.RunnerInfo, *, on_time: bool = True
    ) -> bool:
        """Return whether a decode runner may prefill a prompt of any length.

        Parameters
        ----------
        decode_runner : RunnerInfo
            The runner.
        on_time : bool
            Whether the prompt's own stream meets its targets.
        """
        made_late = self._reservations.on_time_count(decode_runner.runner_id)
        if made_late < self.shared_pauses.get(decode_runner.runner_id, 0):
            return True
        return made_late <= (MAX_DELAYED_STREAMS if on_time else 0)

    def exceeds_pause_limit(self, request: placement.PlacementRequest) -> bool:
        """Return whether prefilling a prompt delays streams for too long."""
        limit_s = request.pause_target_s or DEFAULT_PAUSE_TARGET_S
        pause_s = self.pause_beside_s(request, None)
        return prefill_pause.is_too_long(pause_s, limit_s)

    def _may_queue(self, runner_id: str, now_s: float) -> bool:
        return self._queue_s(runner_id) <= MAX_QUEUE_S and self._is_admitted(
            runner_id, now_s
        )

    def _queue_s(self, runner_id: str) -> float:
        tokens = self._queued.get(runner_id, 0)
        return tokens / self._speed(runner_id)

    def expire(self, now_s: float) -> None:
        """Remove prefills without a report for longer than the timeout."""
        while self._prefills:
            key, oldest = next(iter(self._prefills.items()))
            if now_s - oldest.started_s <= PREFILL_TIMEOUT_S:
                return
            self._remove(key)
            if self.pace is not None:
                self.pace.note_timeout(
                    oldest.runner_id, now_s, oldest.started_s
                )

    def _remove(self, key: tuple[str, int]) -> _Prefill | None:
        prefill = self._prefills.pop(key, None)
        if prefill is None:
            return None
        self._cached[prefill.runner_id] -= prefill.is_cached
        self._counts[prefill.runner_id] -= 1
        left = self._queued.pop(prefill.runner_id, 0) - prefill.tokens
        if left > 0:
            self._queued[prefill.runner_id] = left
        self._sort(prefill.runner_id)
        return prefill

    def _sort(self, runner_id: str) -> None:
        """Update the position of a prefill runner in the order of queues."""
        old_key = self._key_of.pop(runner_id, None)
        if old_key is not None:
            self._order.remove(old_key)
        if runner_id in self._prefill_runners:
            order_s = self._queue_s(runner_id)
            if self._uses_speeds:
                order_s += self._prompt_size.mean / self._speed(runner_id)
            key = (order_s, runner_id)
            self._key_of[runner_id] = key
            self._order.add(key)

    def _is_admitted(self, runner_id: str, now_s: float) -> bool:
        """Return whether a runner's pace allows another prompt."""
        return self.pace is None or self.pace.admits(
            runner_id, self._counts[runner_id], now_s
        )

    def _note_pace(
        self, pace: runner_pace.RunnerPace, prefill: _Prefill, now_s: float
    ) -> None:
        usual_s = 0.0
        if prefill.is_measurable:
            usual_s = NETWORK_DELAY_S
            usual_s += prefill.queued_tokens / self.tokens_per_s
        pace.note_answer(
            prefill.runner_id,
            now_s - prefill.started_s,
            usual_s,
            prefill.beside,
            now_s,
        )

    def _speed(self, runner_id: str) -> float:
        return self._speeds.get(runner_id, self.tokens_per_s)
