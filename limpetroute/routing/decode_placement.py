"""Chooses the decode runner of a stream."""

import itertools
import typing

from limpetroute.routing import fleet as fleet_module
from limpetroute.routing import memory_forecast
from limpetroute.routing import outlier_detector
from limpetroute.routing import placement
from limpetroute.routing import reservations
from limpetroute.routing import runner_info
from limpetroute.routing import runner_limits
from limpetroute.routing import runner_pace
from limpetroute.routing import service as service_module

# Share of a runner's memory by which a runner in the caller's zone may be
# fuller than another one and still be chosen: sending an answer across zones
# costs more than an even load gains.
SAME_ZONE_BONUS = 0.08
# Number of runners that are checked for free capacity. If the runners with the
# most free memory cannot take a stream, the others hardly can.
MAX_PROBED_RUNNERS = 4
# Number of runners with room that are compared by their speed. The bound on
# the best rank is of no use there: the next runner may be the fastest one.
MAX_COMPARED_RUNNERS = 8
# Streams that may wait for one runner whose limit grows.
MAX_ROOM_AT_LIMITED = 8.0


class DecodePlacement:
    """Chooses the decode runner of a stream.

    Parameters
    ----------
    engine : Engine
        Slots and memory of each runner.
    reserved : Reservations
        The reserved slots.
    outliers : OutlierDetector
        Slots taken by hosts that cannot reach the leader.
    fleet : Fleet
        The runners that may be used.
    limits : RunnerLimits
        Request rates that the runners accept.
    """

    def __init__(
        self,
        *,
        engine: service_module.Engine,
        reserved: reservations.Reservations,
        outliers: outlier_detector.OutlierDetector,
        fleet: fleet_module.Fleet,
        limits: runner_limits.RunnerLimits,
    ) -> None:
        self._engine = engine
        self._reservations = reserved
        self._outliers = outliers
        self._fleet = fleet
        self._limits = limits
        # Runners that take only streams that go on.
        self.held_back: frozenset[str] = frozenset()
        # Runners that are kept free for streams further ahead in the queue.
        self.kept: typing.AbstractSet[str] = frozenset()
        self.fit_checks = 0
        # Limits by the runners' answers; None if they are not in effect.
        self.pace: runner_pace.RunnerPace | None = None

    def __repr__(self) -> str:
        return f'{type(self).__name__}(fit_checks={self.fit_checks!r})'

    def best(
        self, request: placement.PlacementRequest, ready_s: float, now_s: float
    ) -> runner_info.RunnerInfo | None:
        """Return the decode runner with the most memory left, or None.

        Runners are checked in descending order of free memory, those in the
        caller's zone first, until no later runner can rank higher.
        """
        decode_runners = self._fleet.decode_runners
        forecast = self._reservations.forecast_memory(request, ready_s)
        bonus = self._engine.memory_tokens * SAME_ZONE_BONUS
        if self._reservations.speeds is not None:
            return self._best_by_speed(request, forecast, now_s)
        best = None
        best_rank = 0.0
        if request.zone:
            for free, runner in decode_runners.by_free_memory(request.zone):
                most = free - request.prefill_tokens
                if most < 0 or (best and most + bonus <= best_rank):
                    break
                rank = self._rank(request, forecast, runner, now_s)
                if rank is not None and (best is None or rank > best_rank):
                    best, best_rank = runner, rank
        for free, runner in decode_runners.by_free_memory():
            most = free - request.prefill_tokens
            if most < 0 or (best and most <= best_rank):
                break
            if request.zone and runner.zone == request.zone:
                continue
            rank = self._rank(request, forecast, runner, now_s)
            if rank is not None and (best is None or rank > best_rank):
                best, best_rank = runner, rank
        if best is None and self._fleet.has_only_ejected(request):
            return self.best_of(
                request, self._fleet.candidates(request), ready_s, now_s
            )
        return best

    def _best_by_speed(
        self,
        request: placement.PlacementRequest,
        forecast: memory_forecast.MemoryForecast,
        now_s: float,
    ) -> runner_info.RunnerInfo | None:
        """Return the best of the runners with room and most free memory.

        Half of those compared may be of the caller's zone only, so that a
        large zone does not hide the other runners.
        """
        decode_runners = self._fleet.decode_runners
        best = None
        best_rank = 0.0
        ranked: set[str] = set()
        for zone in (request.zone, None):
            if zone == '':
                continue
            most = MAX_COMPARED_RUNNERS // 2 if zone else MAX_COMPARED_RUNNERS
            for free, runner in decode_runners.by_free_memory(zone):
                if len(ranked) >= most or free < request.prefill_tokens:
                    break
                if runner.runner_id in ranked:
                    continue
                rank = self._rank(request, forecast, runner, now_s)
                if rank is None:
                    continue
                ranked.add(runner.runner_id)
                if best is None or rank > best_rank:
                    best, best_rank = runner, rank
        if best is None and self._fleet.has_only_ejected(request):
            return self.best_of(
                request,
                self._fleet.candidates(request),
                forecast.begins_s,
                now_s,
            )
        return best

    def best_of(
        self,
        request: placement.PlacementRequest,
        runners: typing.Iterable[runner_info.RunnerInfo],
        ready_s: float,
        now_s: float,
    ) -> runner_info.RunnerInfo | None:
        """Return the best of the given decode runners, or None if none fits.

        The runners must be in descending order of free memory, unless the
        stream is bound to a version.
        """
        forecast = None
        best = None
        best_rank = 0.0
        for runner in runners:
            free = self._fleet.free_tokens(runner, now_s)
            if free < request.prefill_tokens:
                # Runners of one version are in no order.
                if request.version is not None:
                    continue
                break
            if forecast is None:
                forecast = self._reservations.forecast_memory(request, ready_s)
            rank = self._rank(request, forecast, runner, now_s)
            if rank is not None and (best is None or rank > best_rank):
                best, best_rank = runner, rank
        return best

    def has_free_runner(
        self, request: placement.PlacementRequest, now_s: float
    ) -> bool:
        """Return whether some decode runner can take a stream now."""
        if self._fleet.has_only_ejected(request):
            return any(
                self.fits(request, runner, now_s)
                for runner in self._fleet.candidates(request)
            )
        forecast = self._reservations.forecast_memory(request, now_s)
        checks = 0
        for free, runner in self._fleet.decode_runners.by_free_memory():
            if free < request.prefill_tokens or checks == MAX_PROBED_RUNNERS:
                return False
            if not request.may_go_on_at(runner):
                continue
            if not self._is_admitted(runner.runner_id, now_s):
                # A new runner has the most free memory.
                continue
            if self._rank(request, forecast, runner, now_s) is not None:
                return True
            checks += 1
        return False

    def fits(
        self,
        request: placement.PlacementRequest,
        runner: runner_info.RunnerInfo,
        now_s: float,
    ) -> bool:
        """Return whether one decode runner has room for a stream now.

        This ignores its pace, which may admit the stream a moment later.
        """
        forecast = self._reservations.forecast_memory(request, now_s)
        rank = self._rank(request, forecast, runner, now_s, ignores_pace=True)
        return rank is not None

    def room_at_limited(
        self, request: placement.PlacementRequest, now_s: float
    ) -> float:
        """Return how many streams runners may soon take that have a limit.

        Their limits at least double with each answer. Only the runners with
        the most free memory are looked at.
        """
        if self.pace is None:
            return 0.0
        room = 0.0
        forecast = self._reservations.forecast_memory(request, now_s)
        runners = self._fleet.decode_runners.by_free_memory()
        for free, runner in itertools.islice(runners, MAX_COMPARED_RUNNERS):
            if free < request.prefill_tokens:
                break
            if self._is_admitted(runner.runner_id, now_s):
                continue
            rank = self._rank(
                request, forecast, runner, now_s, ignores_pace=True
            )
            if rank is not None:
                limit = self.pace.limit(runner.runner_id, now_s)
                room += min(MAX_ROOM_AT_LIMITED, max(1.0, limit))
        return room

    def _rank(
        self,
        request: placement.PlacementRequest,
        forecast: memory_forecast.MemoryForecast,
        runner: runner_info.RunnerInfo,
        now_s: float,
        *,
        ignores_pace: bool = False,
    ) -> float | None:
        """Return a runner's rank for a stream, or None if it does not fit.

        The rank is the memory in tokens that stays free at the peak, plus a
        bonus for runners in the caller's zone. If the speed of each runner is
        known, the share of its usual time that the stream saves counts as much
        as that share of the memory. A runner that refuses streams of any host
        ranks behind the others.
        """
        if not request.may_go_on_at(runner):
            return None
        if not request.accepts(runner.runner_id, now_s):
            return None
        if runner.runner_id in self.held_back and not request.goes_on:
            return None
        if runner.runner_id in self.kept:
            return None
        taken = self._reservations.stream_count(runner.runner_id)
        hidden = self._outliers.hidden_slots(runner.runner_id, now_s)
        if taken + hidden >= self._engine.slots:
            return None
        if not self._limits.has_token(runner.runner_id, now_s):
            return None
        if not ignores_pace and not self._is_admitted(runner.runner_id, now_s):
            return None
        self.fit_checks += 1
        usable = self._reservations.usable_tokens(taken + 1)
        mean_tokens_per_s = forecast.tokens_per_s
        if self._reservations.speeds is not None:
            forecast = self._reservations.at_runner(forecast, runner.runner_id)
        profile = self._reservations.profile(runner.runner_id, now_s)
        peak = profile.peak_with(forecast, now_s)
        if peak > usable:
            return None
        rank = usable - peak
        if runner.zone == request.zone:
            rank += usable * SAME_ZONE_BONUS
        if self._reservations.speeds is not None:
            rank += usable * (1 - mean_tokens_per_s / forecast.tokens_per_s)
        if self._outliers.sheds(runner.runner_id, now_s):
            rank -= 2 * self._engine.memory_tokens
        return rank

    def _is_admitted(self, runner_id: str, now_s: float) -> bool:
        """Return whether a runner's pace allows another stream."""
        if self.pace is None:
            return True
        taken = self._reservations.stream_count(runner_id)
        return self.pace.admits(runner_id, taken, now_s)
