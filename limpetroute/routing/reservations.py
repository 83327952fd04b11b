"""Reserved decode slots and the forecasts of their streams."""

import dataclasses
import heapq
import math

import sortedcontainers

from limpetroute.routing import length_estimate
from limpetroute.routing import memory_forecast
from limpetroute.routing import memory_headroom
from limpetroute.routing import memory_profile
from limpetroute.routing import moving_mean
from limpetroute.routing import placement
from limpetroute.routing import recent_samples
from limpetroute.routing import runner_reservations
from limpetroute.routing import runner_speeds
from limpetroute.routing import service as service_module
from limpetroute.routing import stage_rates
from limpetroute.routing import team_shares

# Shorter streams do not give a reliable decode speed.
MIN_MEASURED_S = 0.2
# With fewer events, one long gap dominates the mean.
MIN_EVENTS = 8
# The usable memory of each runner depends on the deviation of answers, which
# changes a little with each answer. Planning uses a new value only once it
# differs by this share.
DEVIATION_STEP = 0.05


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StartedStream:
    """What was planned for the start of a stream.

    Parameters
    ----------
    placed : Placement
        The runners of the stream.
    request : PlacementRequest
        The stream.
    prefilled_s : float or None
        When the prefill runner was expected to be done; None if there is none.
    """

    placed: placement.Placement
    request: placement.PlacementRequest
    prefilled_s: float | None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Reservation:
    placed: placement.Placement
    request: placement.PlacementRequest
    forecast: memory_forecast.MemoryForecast
    due_s: float
    expires_s: float
    # Streams that the decode runner had when this one was placed.
    beside: int
    # When a prefill runner was expected to be done; None if there is none.
    prefilled_s: float | None


class Reservations:
    """Reserved decode slots and the forecasts of their streams.

    Parameters
    ----------
    engine : Engine
        Slots and memory of each runner.
    shares : TeamShares or None
        Receives what each team holds.
    """

    def __init__(
        self,
        *,
        engine: service_module.Engine,
        shares: team_shares.TeamShares | None = None,
    ) -> None:
        self._engine = engine
        self._shares = shares or team_shares.TeamShares()
        self._reserved: dict[str, _Reservation] = {}
        self._by_runner: dict[str, runner_reservations.RunnerReservations] = {}
        self._ends = sortedcontainers.SortedList()
        self._end_of: dict[str, float] = {}
        self._expiries: list[tuple[float, str]] = []
        self._changed: set[str] = set()
        self._freed: set[str] = set()
        self._lengths = length_estimate.LengthEstimate()
        first_error = stage_rates.default_rates(engine).deviation_tokens
        self._square_error = moving_mean.MovingMean(first_error * first_error)
        self._planned_deviation_tokens = first_error
        self._usable_by_count: dict[int, float] = {}
        self._speed = moving_mean.MovingMean(
            stage_rates.default_decode_tokens_per_s(engine)
        )

        self._event_s: dict[str, recent_samples.RecentSamples] = {}
        # Speed of each runner; None if the pool's mean is used for all.
        self.speeds: runner_speeds.RunnerSpeeds | None = None

    def __repr__(self) -> str:
        return f'{type(self).__name__}(reserved={len(self._reserved)!r})'

    def __len__(self) -> int:
        return len(self._reserved)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._reserved

    @property
    def tokens_per_s(self) -> float:
        """Measured decode speed of one stream in tokens per second."""
        return self._speed.mean

    @property
    def event_s(self) -> float:
        """Usual time between two events of a stream."""
        return self._engine.tokens_per_event / self._speed.mean

    def event_s_at(self, runner_id: str) -> float:
        """Return the usual time between two events at one runner."""
        existing = self._event_s.get(runner_id)
        return existing.quantile(0.5) if existing is not None else self.event_s

    @property
    def deviation_tokens(self) -> float:
        """Standard deviation of an answer from its expected length."""
        return math.sqrt(self._square_error.mean)

    def usable_tokens(self, streams: int) -> float:
        """Return the memory that may be planned for with this many streams."""
        existing = self._usable_by_count.get(streams)
        if existing is None:
            existing = memory_headroom.usable_tokens(
                self._engine.memory_tokens,
                streams,
                self._planned_deviation_tokens,
            )
            self._usable_by_count[streams] = existing
        return existing

    def free_tokens(self, runner_id: str, now_s: float) -> float:
        """Return the memory that another stream could take on a runner.

        The value holds until the first of the runner's streams ends; less may
        be free later. It is minus infinity if all slots are taken.
        """
        streams = self.stream_count(runner_id)
        if streams >= self._engine.slots:
            return -math.inf
        profile = self.profile(runner_id, now_s)
        return self.usable_tokens(streams + 1) - profile.first_peak_tokens

    def add(
        self,
        placed: placement.Placement,
        request: placement.PlacementRequest,
        *,
        sent_s: float,
        begins_s: float,
        on_time: bool = True,
        prefilled_s: float | None = None,
    ) -> None:
        """Reserve a slot.

        Parameters
        ----------
        placed : Placement
            The runners of the stream.
        request : PlacementRequest
            The stream.
        sent_s : float
            When the caller sent the request.
        begins_s : float
            When the first event is expected.
        on_time : bool
            Whether that meets the target of the stream.
        prefilled_s : float or None
            When the prefill runner is expected to be done, if there is one.
        """
        name = placed.request_id
        self._remove(name)
        reserved = _Reservation(
            placed=placed,
            request=request,
            forecast=self.at_runner(
                self.forecast_memory(request, begins_s), placed.decode_id
            ),
            due_s=sent_s + request.target_s,
            expires_s=sent_s + request.patience_s + 1.0,
            beside=self.stream_count(placed.decode_id),
            prefilled_s=prefilled_s,
        )
        self._reserved[name] = reserved
        self._shares.add(request)
        heapq.heappush(self._expiries, (reserved.expires_s, name))
        self._put_end(name, reserved.forecast.ends_s(begins_s))
        self._runner(placed.decode_id).add(
            name, reserved.forecast, on_time=on_time
        )
        if placed.prefill_id:
            self._runner(placed.prefill_id).add_prefill(name)
        self._changed.add(placed.decode_id)

    def drop(self, request_id: str) -> int | None:
        """Remove a reservation and return its attempt, or None.

        Nothing is learned from its stream.
        """
        reserved = self._remove(request_id)
        return reserved.request.attempt if reserved is not None else None

    def release(self, end: placement.Release) -> placement.Placement | None:
        """Release a slot, learn from its stream, and return its placement.

        Returns
        -------
        Placement or None
            None if the slot was released before, or if the stream has been
            placed again under the same id for a later attempt.
        """
        if end.decode_s > MIN_MEASURED_S and end.output_tokens:
            self._speed.note(end.output_tokens / end.decode_s)
        reserved = self._reserved.get(end.request_id)
        if reserved is None or reserved.request.attempt != end.attempt:
            return None
        self._remove(end.request_id)
        self._note_pace(reserved.placed.decode_id, end)
        self._note_speed(reserved, end)
        if end.whole and not reserved.request.goes_on:
            error = end.output_tokens - reserved.forecast.output_tokens
            self._note_error(error)
            self._lengths.learn(
                estimated_tokens=reserved.request.output_tokens,
                actual_tokens=end.output_tokens,
            )
        return reserved.placed

    def expire(self, now_s: float) -> None:
        """Remove reservations whose entry host died without releasing them."""
        while self._expiries and self._expiries[0][0] < now_s:
            expires_s, request_id = heapq.heappop(self._expiries)
            reserved = self._reserved.get(request_id)
            if reserved is not None and reserved.expires_s == expires_s:
                self._remove(request_id)

    def reset_runner(self, runner_id: str) -> None:
        """Remove the reservations of a runner that has restarted.

        Its streams are over. Their hosts report that later, some of them after
        the first new streams are placed on the runner.
        """
        self._event_s.pop(runner_id, None)
        if self.speeds is not None:
            self.speeds.reset(runner_id)
        existing = self._by_runner.get(runner_id)
        if existing is None:
            return
        for request_id in existing.request_ids:
            self._remove(request_id)

    def take_changed(self) -> set[str]:
        """Return the runners whose streams changed since the last call."""
        changed, self._changed = self._changed, set()
        return changed

    def note_freed(self, runner_id: str) -> None:
        """Record that a runner may take another stream."""
        self._freed.add(runner_id)

    def take_freed(self) -> set[str]:
        """Return the runners where a stream ended since the last call."""
        freed, self._freed = self._freed, set()
        return freed

    def stream_count(self, runner_id: str) -> int:
        """Return the number of streams that a runner decodes."""
        existing = self._by_runner.get(runner_id)
        return existing.stream_count if existing is not None else 0

    def on_time_count(self, runner_id: str) -> int:
        """Return how many of a runner's streams still meet their targets."""
        existing = self._by_runner.get(runner_id)
        return existing.on_time_count if existing is not None else 0

    def on_time_ends_s(self, runner_id: str, now_s: float) -> list[float]:
        """Return the expected ends of a runner's on-time streams, in order."""
        existing = self._by_runner.get(runner_id)
        return existing.on_time_ends_s(now_s) if existing is not None else []

    def note_long_pause(self, runner_id: str) -> None:
        """Record a gap that makes all streams of a runner late."""
        existing = self._by_runner.get(runner_id)
        if existing is not None:
            existing.note_long_pause()

    def note_first_event(self, request_id: str, now_s: float) -> None:
        """Record whether a stream's first event came too late."""
        reserved = self._reserved.get(request_id)
        if reserved is not None and now_s > reserved.due_s:
            self._runner(reserved.placed.decode_id).note_late(request_id)

    def find(self, request_id: str, attempt: int) -> StartedStream | None:
        """Return what was planned for the start of a stream, or None."""
        reserved = self._reserved.get(request_id)
        if reserved is None or reserved.request.attempt != attempt:
            return None
        return StartedStream(
            placed=reserved.placed,
            request=reserved.request,
            prefilled_s=reserved.prefilled_s,
        )

    def uses(self, runner_id: str) -> int:
        """Return the number of streams that a runner prefills or decodes."""
        existing = self._by_runner.get(runner_id)
        return existing.uses if existing is not None else 0

    def profile(
        self, runner_id: str, now_s: float
    ) -> memory_profile.MemoryProfile:
        """Return the memory of a runner's streams over time."""
        return self._runner(runner_id).profile(now_s)

    def next_ends_s(self, count: int, now_s: float) -> list[float]:
        """Return when the next slots become free, in order.

        A stream that has exceeded its expected length ends at an estimated
        later time.
        """
        while self._ends and self._ends[0][0] < now_s:
            _, request_id = self._ends[0]
            forecast = self._reserved[request_id].forecast
            later_s = now_s + memory_profile.OVERDUE_STEP_S
            self._put_end(request_id, max(later_s, forecast.ends_s(now_s)))
        return [end_s for end_s, _ in self._ends.islice(0, count)]

    def expected_tokens(self, request: placement.PlacementRequest) -> int:
        """Return the expected length of a stream's whole answer in tokens."""
        return self._lengths.tokens(
            estimated_tokens=request.output_tokens,
            most_tokens=request.most_output_tokens,
        )

    def forecast_memory(
        self, request: placement.PlacementRequest, begins_s: float
    ) -> memory_forecast.MemoryForecast:
        """Return the memory forecast of a stream that begins at some time."""
        expected = self.expected_tokens(request)
        written = request.written_tokens
        return memory_forecast.MemoryForecast(
            prompt_tokens=request.prefill_tokens,
            output_tokens=max(0, expected - written),
            most_output_tokens=max(0, request.most_output_tokens - written),
            begins_s=begins_s,
            tokens_per_s=self._speed.mean,
        )

    def at_runner(
        self, forecast: memory_forecast.MemoryForecast, runner_id: str
    ) -> memory_forecast.MemoryForecast:
        """Return a stream's forecast with the speed of one runner."""
        if self.speeds is None:
            return forecast
        return memory_forecast.MemoryForecast(
            prompt_tokens=forecast.prompt_tokens,
            output_tokens=forecast.output_tokens,
            most_output_tokens=forecast.most_output_tokens,
            begins_s=forecast.begins_s,
            tokens_per_s=self.speeds.tokens_per_s(
                runner_id, self.stream_count(runner_id), self._speed.mean
            ),
        )

    def _runner(
        self, runner_id: str
    ) -> runner_reservations.RunnerReservations:
        existing = self._by_runner.get(runner_id)
        if existing is None:
            existing = runner_reservations.RunnerReservations()
            self._by_runner[runner_id] = existing
        return existing

    def _remove(self, request_id: str) -> _Reservation | None:
        reserved = self._reserved.pop(request_id, None)
        if reserved is None:
            return None
        self._shares.remove(reserved.request)
        self._ends.remove((self._end_of.pop(request_id), request_id))
        placed = reserved.placed
        for runner_id in filter(None, (placed.decode_id, placed.prefill_id)):
            existing = self._by_runner[runner_id]
            existing.discard(request_id)
            if not existing.uses:
                del self._by_runner[runner_id]
        self._changed.add(placed.decode_id)
        self._freed.add(placed.decode_id)
        return reserved

    def _put_end(self, request_id: str, end_s: float) -> None:
        known_s = self._end_of.get(request_id)
        if known_s is not None:
            self._ends.remove((known_s, request_id))
        self._end_of[request_id] = end_s
        self._ends.add((end_s, request_id))

    def _note_pace(self, runner_id: str, end: placement.Release) -> None:
        events = end.output_tokens / self._engine.tokens_per_event
        if events < MIN_EVENTS or end.decode_s < MIN_MEASURED_S:
            return
        samples = self._event_s.get(runner_id)
        if samples is None:
            samples = recent_samples.RecentSamples(self.event_s)
            self._event_s[runner_id] = samples
        samples.note(end.decode_s / events)

    def _note_speed(
        self, reserved: _Reservation, end: placement.Release
    ) -> None:
        events = end.output_tokens / self._engine.tokens_per_event
        if (
            self.speeds is None
            or events < MIN_EVENTS
            or end.decode_s < MIN_MEASURED_S
        ):
            return
        decode_id = reserved.placed.decode_id
        beside = (reserved.beside + self.stream_count(decode_id)) // 2
        self.speeds.note(
            decode_id,
            end.output_tokens / end.decode_s,
            beside,
            self._speed.mean,
        )

    def _note_error(self, error_tokens: float) -> None:
        self._square_error.note(error_tokens * error_tokens)
        planned = self._planned_deviation_tokens
        measured = self.deviation_tokens
        if abs(measured - planned) > DEVIATION_STEP * planned:
            self._planned_deviation_tokens = measured
            self._usable_by_count.clear()
