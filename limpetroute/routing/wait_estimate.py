"""When a waiting stream's turn comes."""

import math

from limpetroute.routing import decode_placement as placement_module
from limpetroute.routing import fleet as fleet_module
from limpetroute.routing import placement
from limpetroute.routing import prefill_queue
from limpetroute.routing import reservations
from limpetroute.routing import self_prefill_index

# Slots that are looked at beyond one for each waiting stream.
EXTRA_ENDS = 16


class WaitEstimate:
    """When a waiting stream's turn comes.

    What holds for all streams is worked out once; for each stream it is
    looked up.

    Parameters
    ----------
    reserved : Reservations
        The slots that are reserved.
    prefill : PrefillQueue
        When runners may read.
    fleet : Fleet
        The runners that are used now.
    decode_placement : DecodePlacement
        Which decode runner has room.
    """

    def __init__(
        self,
        *,
        reserved: reservations.Reservations,
        prefill: prefill_queue.PrefillQueue,
        fleet: fleet_module.Fleet,
        decode_placement: placement_module.DecodePlacement,
    ) -> None:
        self._reservations = reserved
        self._decode_placement = decode_placement
        self._prefill = prefill
        self._fleet = fleet
        self._now_s = 0.0
        self._waiting = 0
        self._ends_s: list[float] | None = None
        self._queue_s: float | None = None
        self._cached_index: self_prefill_index.SelfPrefillIndex | None = None
        self._long_prefill_at_s: float | None = None

    def __repr__(self) -> str:
        return f'{type(self).__name__}(ends_s={self._ends_s!r})'

    def refresh(self, waiting: int, now_s: float, *, full: bool) -> None:
        """Begin to answer for another moment.

        Parameters
        ----------
        waiting : int
            Number of streams that wait.
        now_s : float
            The moment.
        full : bool
            Whether to look at each decode runner anew. Where there are
            many, that takes too long for each event, and what was found
            last is used until the next full pass.
        """
        self._now_s = now_s
        self._waiting = waiting
        self._ends_s = None
        self._queue_s = None
        self._long_prefill_at_s = None
        if (
            full
            or len(self._fleet.decode_runners)
            <= prefill_queue.SMALL_POOL_RUNNERS
        ):
            self._cached_index = None

    def can_be_prefilled(self, request: placement.PlacementRequest) -> bool:
        """Return whether some runner may read a prompt once it is free."""
        if request.reads_prompt and self._fleet.prefill_runners:
            return True
        if not self._prefill.exceeds_pause_limit(request):
            return bool(self._fleet.decode_runners)
        return self._index.accepts_long_prompts

    def start_s(
        self,
        request: placement.PlacementRequest,
        ahead: int,
        has_free_runner: bool,
    ) -> float:
        """Return when a stream gets its place, after those ahead."""
        if not self.can_be_prefilled(request):
            return self._long_prefill_s()
        if not self._fleet.prefill_runners or not request.reads_prompt:
            return min(
                self.slot_free_s(ahead),
                self._self_prefill_start_s(request, ahead),
            )
        queue_s = self._queue_start_s(ahead)
        if self._prefill.decodes_during_prefill:
            queue_s = min(queue_s, self._self_prefill_start_s(request, ahead))
        if has_free_runner:
            return queue_s
        return max(queue_s, self.slot_free_s(ahead))

    def slot_free_s(self, ahead: int) -> float:
        """Return when the place after those ahead becomes free."""
        if self._ends_s is None:
            self._ends_s = self._reservations.next_ends_s(
                self._waiting + EXTRA_ENDS, self._now_s
            )
        if ahead < len(self._ends_s):
            return self._ends_s[ahead]
        return self._ends_s[-1] if self._ends_s else self._now_s

    def _queue_start_s(self, ahead: int) -> float:
        """Return when a prefill runner takes a prompt, after others."""
        if self._queue_s is None:
            first = self._prefill.first_free(self._now_s)
            self._queue_s = 0.0
            if first is not None:
                self._queue_s = self._prefill.queue_s(first, self._now_s)
        each_s = self._prefill.mean_prefill_s / len(
            self._fleet.prefill_runners
        )
        max_queue_s = prefill_queue.MAX_QUEUE_S
        wait_s = self._queue_s - max_queue_s + ahead * each_s
        return self._now_s + max(0.0, wait_s)

    def _self_prefill_start_s(
        self, request: placement.PlacementRequest, ahead: int
    ) -> float:
        """Return when a decode runner with room may read a prompt.

        Such a runner has slots, but reads one prompt at a time: it is
        waited for, not for the end of one of its streams.
        """
        if len(self._fleet.decode_runners) <= prefill_queue.SMALL_POOL_RUNNERS:
            earliest_s, count = self._earliest_with_capacity(request)
        else:
            earliest_s, count = self._index.earliest(
                request.prefill_tokens,
                for_long_prompt=self._prefill.exceeds_pause_limit(request),
            )
        if not count:
            return math.inf
        return (
            earliest_s + ahead * self._prefill.self_prefill_interval_s / count
        )

    def _earliest_with_capacity(
        self, request: placement.PlacementRequest
    ) -> tuple[float, int]:
        """Return when the first with room may read, and how many have it."""
        for_long_prompt = self._prefill.exceeds_pause_limit(request)
        found_s = [
            self._prefill.self_prefill_free_s(runner, self._now_s)
            for runner in self._fleet.decode_runners
            if not (
                for_long_prompt and not self._prefill.may_prefill_long(runner)
            )
            and self._decode_placement.fits(request, runner, self._now_s)
        ]
        return min(found_s, default=math.inf), len(found_s)

    @property
    def _index(self) -> self_prefill_index.SelfPrefillIndex:
        if self._cached_index is None:
            self._cached_index = self_prefill_index.SelfPrefillIndex(
                prefill=self._prefill,
                fleet=self._fleet,
                now_s=self._now_s,
            )
        return self._cached_index

    def _long_prefill_s(self) -> float:
        """Return when a decode runner may read a prompt of any length.

        That is if it gets no new streams; where others wait, it comes
        later or never.
        """
        if self._long_prefill_at_s is None:
            starts_s = []
            for runner in self._fleet.decode_runners:
                ends_s = self._reservations.on_time_ends_s(
                    runner.runner_id, self._now_s
                )
                if len(ends_s) <= prefill_queue.MAX_DELAYED_STREAMS:
                    starts_s.append(self._now_s)
                    continue
                starts_s.append(ends_s[-prefill_queue.MAX_DELAYED_STREAMS - 1])
            self._long_prefill_at_s = max(
                self._now_s, min(starts_s, default=math.inf)
            )
        return self._long_prefill_at_s
