"""Which decode runner a stream is given."""

from limpetroute.routing import outlier_detector
from limpetroute.routing import placement
from limpetroute.routing import prefill_queue
from limpetroute.routing import reservations
from limpetroute.routing import runner_info
from limpetroute.routing import service as service_module

# Part of the memory by which a runner of the caller's zone may be fuller
# than another one and still be taken: an answer is 24 KB that would be
# paid for between zones. A stream takes 4 to 8 % of a runner.
SAME_ZONE_BONUS = 0.08


class DecodePlacement:
    """Which decode runner a stream is given.

    Parameters
    ----------
    engine : Engine
        Places and memory of the runners.
    held : Reservations
        The places that are given.
    reading : PrefillQueue
        When runners may read.
    watch : OutlierDetector
        Places that hosts out of reach have taken.
    """

    def __init__(
        self,
        *,
        engine: service_module.Engine,
        held: reservations.Reservations,
        reading: prefill_queue.PrefillQueue,
        watch: outlier_detector.OutlierDetector,
    ) -> None:
        self._engine = engine
        self._held = held
        self._reading = reading
        self._watch = watch

    def __repr__(self) -> str:
        return f'{type(self).__name__}(held={self._held!r})'

    def best(
        self,
        ask: placement.PlacementRequest,
        decoders: list[runner_info.RunnerInfo],
        reader: runner_info.RunnerInfo | None,
        ready_s: float,
        now_s: float,
    ) -> runner_info.RunnerInfo | None:
        """Return the decode runner with most memory left, if one has room.

        Without a reader, it is one that may read the prompt itself.
        """
        best = None
        best_rank = 0.0
        for runner in decoders:
            if reader is None and not self._reading.may_read(
                ask, runner, now_s
            ):
                continue
            rank = self._rank(ask, runner, ready_s, now_s)
            if rank is None:
                continue
            if best is None or rank > best_rank:
                best, best_rank = runner, rank
        return best

    def _rank(
        self,
        ask: placement.PlacementRequest,
        runner: runner_info.RunnerInfo,
        ready_s: float,
        now_s: float,
    ) -> float | None:
        """Return the memory left at a runner, or None without room."""
        if runner.runner_id in ask.avoid:
            return None
        taken = len(self._held.outlooks(runner.runner_id))
        hidden = self._watch.hidden(runner.runner_id, now_s)
        if taken + hidden >= self._engine.slots:
            return None
        room = self._held.room_tokens(taken + 1)
        peak = self._held.peak_with(
            runner.runner_id, ask, begins_s=ready_s, now_s=now_s
        )
        if peak > room:
            return None
        rank = room - peak
        if runner.zone == ask.zone:
            rank += room * SAME_ZONE_BONUS
        return rank
