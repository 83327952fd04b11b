"""When a waiting stream's turn comes."""

import math

from limpetroute.routing import placement
from limpetroute.routing import prefill_queue
from limpetroute.routing import reservations
from limpetroute.routing import runner_info
from limpetroute.routing import service as service_module


class WaitEstimate:
    """When a waiting stream's turn comes, at one moment.

    Parameters
    ----------
    engine : Engine
        Places and memory of the runners.
    held : Reservations
        The places that are given.
    reading : PrefillQueue
        When runners may read.
    decoders, readers : list of RunnerInfo
        The runners that are used now.
    now_s : float
        The moment.
    """

    def __init__(
        self,
        *,
        engine: service_module.Engine,
        held: reservations.Reservations,
        reading: prefill_queue.PrefillQueue,
        decoders: list[runner_info.RunnerInfo],
        readers: list[runner_info.RunnerInfo],
        now_s: float,
    ) -> None:
        self._engine = engine
        self._held = held
        self._reading = reading
        self._decoders = decoders
        self._readers = readers
        self._now_s = now_s
        self._ends_s = held.ends_s(now_s)

    def __repr__(self) -> str:
        return f'{type(self).__name__}(ends_s={self._ends_s!r})'

    def turn_s(self, ask: placement.PlacementRequest, ahead: int) -> float:
        """Return when a stream gets its place, after those ahead."""
        if not self._reading.can_be_read(ask, self._decoders, self._readers):
            return self._quiet_s()
        if not self._readers or not ask.reads_prompt:
            return min(self.place_s(ahead), self._read_s(ask, ahead))
        queue_s = self._reading.queue_turn_s(self._readers, ahead, self._now_s)
        if self._reading.writers_read_well:
            queue_s = min(queue_s, self._read_s(ask, ahead))
        if any(self._has_room(ask, one) for one in self._decoders):
            return queue_s
        return max(queue_s, self.place_s(ahead))

    def place_s(self, ahead: int) -> float:
        """Return when the place after those ahead becomes free."""
        if ahead < len(self._ends_s):
            return self._ends_s[ahead]
        return self._ends_s[-1] if self._ends_s else self._now_s

    def _read_s(self, ask: placement.PlacementRequest, ahead: int) -> float:
        """Return when a decode runner with room may read a prompt.

        Such a runner has places, but reads one prompt at a time: it is
        waited for, not for the end of one of its streams.
        """
        soonest_s = []
        for runner in self._decoders:
            if not self._has_room(ask, runner):
                continue
            beside = len(self._held.outlooks(runner.runner_id))
            if self._reading.is_too_long(ask, beside):
                continue
            soonest_s.append(self._reading.self_read_s(runner, self._now_s))
        if not soonest_s:
            return math.inf
        each_s = self._reading.self_read_each_s / len(soonest_s)
        return min(soonest_s) + ahead * each_s

    def _quiet_s(self) -> float:
        """Return when a decode runner has few streams left.

        That is if it gets no new ones; where others wait, it comes
        later or never.
        """
        quiet_s = []
        for runner in self._decoders:
            ends_s = sorted(
                one.ends_s(self._now_s)
                for one in self._held.outlooks(runner.runner_id)
            )
            quiet_s.append(ends_s[-prefill_queue.FEW_STREAMS - 1])
        return max(self._now_s, min(quiet_s, default=math.inf))

    def _has_room(
        self, ask: placement.PlacementRequest, runner: runner_info.RunnerInfo
    ) -> bool:
        if runner.runner_id in ask.avoid:
            return False
        beside = len(self._held.outlooks(runner.runner_id))
        if beside >= self._engine.slots:
            return False
        peak = self._held.peak_with(
            runner.runner_id, ask, begins_s=self._now_s, now_s=self._now_s
        )
        return peak <= self._held.room_tokens(beside + 1)
