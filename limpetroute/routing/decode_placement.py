"""Which decode runner a stream is placed at."""

import typing

from limpetroute.routing import fleet as fleet_module
from limpetroute.routing import memory_forecast
from limpetroute.routing import outlier_detector
from limpetroute.routing import placement
from limpetroute.routing import reservations
from limpetroute.routing import runner_info
from limpetroute.routing import runner_limits
from limpetroute.routing import service as service_module

# Part of the memory by which a runner of the caller's zone may be fuller
# than another one and still be taken: an answer that crosses zones costs
# more than an even spread gains.
SAME_ZONE_BONUS = 0.08
# Runners that are looked at to tell whether there is room for a stream:
# where those with most free memory have none, others hardly do.
MAX_PROBED_RUNNERS = 4


class DecodePlacement:
    """Which decode runner a stream is placed at.

    Parameters
    ----------
    engine : Engine
        Slots and memory of the runners.
    reserved : Reservations
        The slots that are reserved.
    outliers : OutlierDetector
        Slots that hosts out of reach have taken.
    fleet : Fleet
        The runners that may be used.
    limits : RunnerLimits
        Requests a second that runners take.
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
        self.fit_checks = 0

    def __repr__(self) -> str:
        return f'{type(self).__name__}(fit_checks={self.fit_checks!r})'

    def best(
        self, request: placement.PlacementRequest, ready_s: float, now_s: float
    ) -> runner_info.RunnerInfo | None:
        """Return the decode runner with most memory left, if one has room.

        Runners are looked at from the one with most free memory on, until
        none that follows can be better; those of the caller's zone first.
        """
        decoders = self._fleet.decode_runners
        forecast = self._reservations.forecast_memory(request, ready_s)
        bonus = self._engine.memory_tokens * SAME_ZONE_BONUS
        best = None
        best_rank = 0.0
        if request.zone:
            for free, runner in decoders.by_free_memory(request.zone):
                most = free - request.prefill_tokens
                if most < 0 or (best and most + bonus <= best_rank):
                    break
                rank = self._rank(request, forecast, runner, now_s)
                if rank is not None and (best is None or rank > best_rank):
                    best, best_rank = runner, rank
        for free, runner in decoders.by_free_memory():
            most = free - request.prefill_tokens
            if most < 0 or (best and most <= best_rank):
                break
            if request.zone and runner.zone == request.zone:
                continue
            rank = self._rank(request, forecast, runner, now_s)
            if rank is not None and (best is None or rank > best_rank):
                best, best_rank = runner, rank
        return best

    def best_of(
        self,
        request: placement.PlacementRequest,
        runners: typing.Iterable[runner_info.RunnerInfo],
        ready_s: float,
        now_s: float,
    ) -> runner_info.RunnerInfo | None:
        """Return the best of some decode runners, if one has room.

        They come in the order of their free memory, most first.
        """
        forecast = None
        best = None
        best_rank = 0.0
        for runner in runners:
            free = self._fleet.decode_runners.free_tokens(runner.runner_id)
            if free < request.prefill_tokens:
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
        """Return whether a decode runner has room for a stream now."""
        forecast = self._reservations.forecast_memory(request, now_s)
        checks = 0
        for free, runner in self._fleet.decode_runners.by_free_memory():
            if free < request.prefill_tokens or checks == MAX_PROBED_RUNNERS:
                return False
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
        """Return whether one decode runner has room for a stream now."""
        forecast = self._reservations.forecast_memory(request, now_s)
        return self._rank(request, forecast, runner, now_s) is not None

    def _rank(
        self,
        request: placement.PlacementRequest,
        forecast: memory_forecast.MemoryForecast,
        runner: runner_info.RunnerInfo,
        now_s: float,
    ) -> float | None:
        """Return the memory left at a runner, or None without room."""
        if runner.runner_id in request.avoid:
            return None
        taken = self._reservations.stream_count(runner.runner_id)
        hidden = self._outliers.hidden_slots(runner.runner_id, now_s)
        if taken + hidden >= self._engine.slots:
            return None
        if not self._limits.has_token(runner.runner_id, now_s):
            return None
        self.fit_checks += 1
        room = self._reservations.usable_tokens(taken + 1)
        profile = self._reservations.profile(runner.runner_id, now_s)
        peak = profile.peak_with(forecast, now_s)
        if peak > room:
            return None
        rank = room - peak
        if runner.zone == request.zone:
            rank += room * SAME_ZONE_BONUS
        return rank
