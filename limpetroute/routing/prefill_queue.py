"""When runners are free to read the next prompt."""

import collections
import dataclasses
import typing

import sortedcontainers

from limpetroute.routing import free_memory_index
from limpetroute.routing import moving_mean
from limpetroute.routing import placement
from limpetroute.routing import prefill_history
from limpetroute.routing import prefill_pause
from limpetroute.routing import reservations
from limpetroute.routing import runner_info
from limpetroute.routing import self_prefill_tracker
from limpetroute.routing import stage_rates
from limpetroute.routing import stream_times

# A prompt that holds a runner's streams up for too long is only read where
# it makes no more of them late than it is itself on time.
MOST_MADE_LATE = 1
# Up to so many decode runners, each is looked at.
FEW_RUNNERS = 8
# Runners of a service differ in speed: one that has not read yet may be
# slower than the others.
UNMEASURED_PART = 0.85
# Longest pause between events where a route names none.
USUAL_PAUSE_S = 0.3
# Readings that are queued at a prefill runner. Who waits there cannot be
# put behind one that is due sooner, and a host that waits too long takes
# the runner for dark; with less than two prompts queued, the runner would
# stand still between two.
LONGEST_QUEUE_S = 0.25
# A reading that nothing was heard of for this long is over: its host
# has taken the runner for dark before.
FORGET_S = 1.5
# Beside the reading itself: the way to the entry host, to the runner and
# back, and to who counts.
WAY_S = 0.02
# Weight of one reading in a runner's measured speed.
SPEED_WEIGHT = 1 / 8


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Reading:
    reader_id: str
    tokens: int
    queued_tokens: int
    since_s: float
    cached: bool
    # Neither it nor what is queued before it is in the runner's cache.
    measures: bool


class PrefillQueue:
    """When runners are free to read the next prompt.

    Prefill runners read one prompt after the other. What is queued there
    is counted from what was given and not heard of again: worked out
    from a speed alone, the queue of a slower runner would grow unseen
    until its readings are given up.

    Parameters
    ----------
    reserved : Reservations
        The slots that are reserved.
    prompt_size : UsualSize
        Lengths of the prompts that come.
    """

    def __init__(
        self,
        *,
        reserved: reservations.Reservations,
        prompt_size: moving_mean.MovingMean,
    ) -> None:
        self._reservations = reserved
        # In the order in which they began.
        self._readings: dict[tuple[str, int], _Reading] = {}
        self._queued: dict[str, int] = {}
        self._readers: dict[str, runner_info.RunnerInfo] = {}
        self._decoders = free_memory_index.FreeMemoryIndex()
        self._order = sortedcontainers.SortedList()
        self._key_of: dict[str, tuple[float, str]] = {}
        self._speeds: dict[str, float] = {}
        self._speed_sum = 0.0
        self._self_reads = self_prefill_tracker.SelfPrefillTracker()
        self._prompt_size = prompt_size
        self._read_prompts = prefill_history.PrefillHistory()
        # Readings of prompts in a cache, queued at each prefill runner.
        self._cached: collections.Counter[str] = collections.Counter()

    def __repr__(self) -> str:
        return f'{type(self).__name__}(readings={len(self._readings)!r})'

    @property
    def tokens_per_s(self) -> float:
        """How fast prefill runners read, as measured."""
        if not self._speeds:
            return stage_rates.DEFAULT_PREFILL_TOKENS_PER_S
        return self._speed_sum / len(self._speeds)

    def use(
        self,
        readers: typing.Iterable[runner_info.RunnerInfo],
        decoders: free_memory_index.FreeMemoryIndex | None = None,
    ) -> None:
        """Take note of the runners that may be given prompts."""
        if decoders is not None:
            self._decoders = decoders
        self._readers = {one.runner_id: one for one in readers}
        self._order.clear()
        self._key_of.clear()
        for runner_id in self._readers:
            self._sort(runner_id)

    def first_free(self, now_s: float) -> runner_info.RunnerInfo | None:
        """Return the prefill runner that is free first, if there is one."""
        self._lapse(now_s)
        if not self._order:
            return None
        return self._readers[self._order[0][1]]

    def may_queue(self, reader: runner_info.RunnerInfo, now_s: float) -> bool:
        """Return whether a prefill runner may be given another prompt."""
        return self.queue_s(reader, now_s) <= LONGEST_QUEUE_S

    def queue_s(self, reader: runner_info.RunnerInfo, now_s: float) -> float:
        """Return for how long a prefill runner reads what it was given."""
        self._lapse(now_s)
        return self._queue_s(reader.runner_id)

    @property
    def read_each_s(self) -> float:
        """Time that a prefill runner takes for a prompt."""
        return self._prompt_size.mean / self.tokens_per_s

    def ready_s(
        self,
        request: placement.PlacementRequest,
        reader: runner_info.RunnerInfo | None,
        now_s: float,
    ) -> float:
        """Return when the first event is there, if it is read now."""
        queue_s = 0.0
        if reader is not None:
            queue_s = self.queue_s(reader, now_s)
        has_reader = reader is not None
        return now_s + queue_s + self.to_first_event_s(request, has_reader)

    def to_first_event_s(
        self, request: placement.PlacementRequest, has_reader: bool
    ) -> float:
        """Return the time from a place to the first event, as measured."""
        if has_reader:
            read_s = request.prefill_tokens / self.tokens_per_s
            return stream_times.OVERHEAD_S + read_s
        read_s = request.prefill_tokens / self.self_read_speed()
        return self._self_reads.overhead_s + read_s

    def speed(self, reader: runner_info.RunnerInfo | None) -> float:
        """Return the tokens a second that a prompt is read at.

        Parameters
        ----------
        reader : RunnerInfo or None
            The prefill runner; None if a decode runner reads it.
        """
        if reader is None:
            return self.self_read_speed()
        return self._speed(reader.runner_id)

    def pause_beside_s(
        self,
        request: placement.PlacementRequest,
        reader: runner_info.RunnerInfo | None,
    ) -> float:
        """Return the longest time between two events beside its prefill."""
        if reader is not None:
            return 0.0
        read_s = request.prefill_tokens / self.self_read_speed()
        return prefill_pause.pause_s(
            read_s,
            event_s=self._event_s,
            pace_beside=self.pace_beside_reading,
        )

    def self_read_speed(self, runner_id: str | None = None) -> float:
        """Return the tokens a second at which decode runners read.

        Until it is measured, it follows from that of prefill runners.

        Parameters
        ----------
        runner_id : str or None
            One runner; what is known of all if it is left out.
        """
        measured = self._self_reads.tokens_per_s(runner_id)
        return measured if measured is not None else self._first_self_speed

    @property
    def _event_s(self) -> float:
        """Usual time between two events at the slowest of few runners.

        Of many, one that is slow is not waited for.
        """
        if not 0 < len(self._decoders) <= FEW_RUNNERS:
            return self._reservations.event_s
        return max(
            self._reservations.event_s_at(one.runner_id)
            for one in self._decoders
        )

    @property
    def _first_self_speed(self) -> float:
        usual = self.tokens_per_s * stage_rates.SELF_READ_PART
        return usual * UNMEASURED_PART

    @property
    def pace_beside_reading(self) -> float:
        """Part of their speed at which streams go on beside a reading."""
        return prefill_pause.pace(self._reservations.tokens_per_s)

    @property
    def decodes_during_prefill(self) -> bool:
        """Whether streams go on while their runner reads a prompt.

        Where they all but stand still, each prompt that a writer reads
        makes an event of all its streams late.
        """
        return prefill_pause.is_good_beside(self.pace_beside_reading)

    @property
    def self_read_each_s(self) -> float:
        """Time after which a decode runner may read the next prompt."""
        read_s = self._prompt_size.mean / self.self_read_speed()
        return read_s + self._event_s

    def take(
        self,
        request: placement.PlacementRequest,
        reader: runner_info.RunnerInfo | None,
        decoder: runner_info.RunnerInfo,
        now_s: float,
    ) -> None:
        """Take note of who reads a prompt from now on."""
        own_tokens = (
            request.written_tokens if reader else request.prefill_tokens
        )
        if own_tokens:
            begins_s = 0.0
            if reader is not None:
                begins_s = self.queue_s(reader, now_s)
                begins_s += request.prompt_tokens / self._speed(
                    reader.runner_id
                )
            speed = self.self_read_speed(decoder.runner_id)
            self._self_reads.begin(
                request,
                decoder.runner_id,
                tokens=own_tokens,
                read_s=begins_s + own_tokens / speed,
                now_s=now_s,
            )
        if reader is None:
            return
        self._remove((request.request_id, request.attempt))
        self._lapse(now_s)
        cached = self._read_prompts.note(reader.runner_id, request)
        self._cached[reader.runner_id] += cached
        ahead = self._queued.get(reader.runner_id, 0)
        self._queued[reader.runner_id] = ahead + request.prompt_tokens
        self._readings[(request.request_id, request.attempt)] = _Reading(
            reader_id=reader.runner_id,
            tokens=request.prompt_tokens,
            queued_tokens=ahead + request.prompt_tokens,
            since_s=now_s,
            cached=cached,
            measures=not self._cached[reader.runner_id],
        )
        self._sort(reader.runner_id)

    def done(self, request_id: str, attempt: int, now_s: float) -> str | None:
        """Take note of a prompt that was read, and how long it took.

        Returns
        -------
        str or None
            Identity of the prefill runner that read it, if it is known.
        """
        reading = self._remove((request_id, attempt))
        if reading is None:
            return None
        if not reading.measures:
            return reading.reader_id
        took_s = max(0.001, now_s - reading.since_s - WAY_S)
        speed = self._speed(reading.reader_id)
        measured = min(reading.queued_tokens / took_s, 2 * speed)
        usual = self._prompt_size.mean
        weight = SPEED_WEIGHT * min(1.0, reading.queued_tokens / usual)
        speed += (measured - speed) * weight
        self._speed_sum += speed - self._speeds.get(reading.reader_id, 0.0)
        self._speeds[reading.reader_id] = speed
        self._sort(reading.reader_id)
        return reading.reader_id

    def first_event(
        self, request_id: str, attempt: int, took_s: float, now_s: float
    ) -> None:
        """Take note of the first event after a decode runner's own reading.

        Parameters
        ----------
        request_id, attempt : str, int
            The stream.
        took_s : float
            Time from its send to the event.
        now_s : float
            A steady clock.
        """
        self._self_reads.done(
            (request_id, attempt),
            took_s,
            usual_speed=self._first_self_speed,
            free_s=now_s + self._event_s,
            now_s=now_s,
        )

    def drop(self, request_id: str, attempt: int) -> None:
        """Forget a reading that failed or is not waited for any more."""
        self._remove((request_id, attempt))
        self._self_reads.drop((request_id, attempt))

    def reset_runner(self, runner_id: str) -> None:
        """Forget what a runner reads and how fast; it has started again."""
        for key, reading in list(self._readings.items()):
            if reading.reader_id == runner_id:
                self._remove(key)
        self._read_prompts.reset_runner(runner_id)
        self._speed_sum -= self._speeds.pop(runner_id, 0.0)
        self._sort(runner_id)
        self._self_reads.reset_runner(runner_id)

    def may_self_prefill(
        self, decoder: runner_info.RunnerInfo, now_s: float
    ) -> bool:
        """Return whether a decode runner may read a prompt now.

        Its own streams stand still while it reads: it takes one prompt
        at a time.
        """
        if not self._reservations.streams(decoder.runner_id):
            return True
        return self.self_prefill_free_s(decoder, now_s) <= now_s

    def may_prefill_long(
        self, decoder: runner_info.RunnerInfo, *, on_time: bool = True
    ) -> bool:
        """Return whether a decode runner may read a prompt of any length.

        Parameters
        ----------
        decoder : RunnerInfo
            The runner.
        on_time : bool
            Whether the prompt's own stream is on time.
        """
        made_late = self._reservations.on_time(decoder.runner_id)
        return made_late <= (MOST_MADE_LATE if on_time else 0)

    def exceeds_pause_limit(self, request: placement.PlacementRequest) -> bool:
        """Return whether reading it holds streams up for too long."""
        limit_s = request.pause_target_s or USUAL_PAUSE_S
        pause_s = self.pause_beside_s(request, None)
        return prefill_pause.is_too_long(pause_s, limit_s)

    def self_prefill_free_s(
        self, decoder: runner_info.RunnerInfo, now_s: float
    ) -> float:
        """Return when a decode runner has read what it was given."""
        return self._self_reads.free_s(decoder.runner_id, now_s)

    def _queue_s(self, reader_id: str) -> float:
        tokens = self._queued.get(reader_id, 0)
        return tokens / self._speed(reader_id)

    def _lapse(self, now_s: float) -> None:
        """Forget readings that nothing was heard of for too long."""
        while self._readings:
            key, oldest = next(iter(self._readings.items()))
            if now_s - oldest.since_s <= FORGET_S:
                return
            self._remove(key)

    def _remove(self, key: tuple[str, int]) -> _Reading | None:
        reading = self._readings.pop(key, None)
        if reading is None:
            return None
        self._cached[reading.reader_id] -= reading.cached
        left = self._queued.pop(reading.reader_id, 0) - reading.tokens
        if left > 0:
            self._queued[reading.reader_id] = left
        self._sort(reading.reader_id)
        return reading

    def _sort(self, reader_id: str) -> None:
        """Put a prefill runner where its queue belongs in the order."""
        known = self._key_of.pop(reader_id, None)
        if known is not None:
            self._order.remove(known)
        if reader_id in self._readers:
            key = (self._queue_s(reader_id), reader_id)
            self._key_of[reader_id] = key
            self._order.add(key)

    def _speed(self, reader_id: str) -> float:
        return self._speeds.get(reader_id, self.tokens_per_s)
