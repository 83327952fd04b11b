"""Estimates when waiting streams can be placed."""

import math

from limpetroute.routing import decode_placement as placement_module
from limpetroute.routing import fleet as fleet_module
from limpetroute.routing import moving_mean
from limpetroute.routing import placement
from limpetroute.routing import prefill_queue
from limpetroute.routing import reservations
from limpetroute.routing import self_prefill_index

# Number of expected slot releases to look up beyond one for each waiting
# stream.
EXTRA_ENDS = 16


class WaitEstimate:
    """Estimates when waiting streams can be placed.

    Values that are the same for all streams are computed once per pass and
    looked up for each stream.

    Parameters
    ----------
    reserved : Reservations
        The reserved slots.
    prefill : PrefillQueue
        Determines when runners are free to prefill.
    fleet : Fleet
        The runners that may be used.
    decode_placement : DecodePlacement
        Checks which decode runners have free capacity.
    output_size : MovingMean
        Mean number of tokens of an answer.
    """

    def __init__(
        self,
        *,
        reserved: reservations.Reservations,
        prefill: prefill_queue.PrefillQueue,
        fleet: fleet_module.Fleet,
        decode_placement: placement_module.DecodePlacement,
        output_size: moving_mean.MovingMean,
    ) -> None:
        self._reservations = reserved
        self._output_size = output_size
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
        """Set the time of the estimates and drop cached values.

        Parameters
        ----------
        waiting : int
            Number of waiting streams.
        now_s : float
            Monotonic time in seconds.
        full : bool
            Whether to check each decode runner again. In a large pool that
            takes too long for each event, and the index of the last full pass
            is used until the next one.
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
        """Return whether some runner may prefill a prompt once it is free."""
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
        """Return when a stream can be placed, after those ahead of it."""
        if not self.can_be_prefilled(request):
            return self._long_prefill_s()
        if request.is_prefilled:
            return self._now_s if has_free_runner else self.slot_free_s(ahead)
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
        """Return when a slot becomes free beyond those for streams ahead."""
        if self._ends_s is None:
            self._ends_s = self._reservations.next_ends_s(
                self._waiting + EXTRA_ENDS, self._now_s
            )
        if not self._ends_s:
            return self._now_s
        # Streams beyond those that run now follow others that wait.
        rounds, position = divmod(ahead, len(self._ends_s))
        stream_s = self._output_size.mean / self._reservations.tokens_per_s
        return self._ends_s[position] + rounds * stream_s

    def _queue_start_s(self, ahead: int) -> float:
        """Return when a prefill runner accepts a prompt after those ahead."""
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
        """Return when a decode runner with free capacity may prefill a prompt.

        Such a runner has free slots but prefills one prompt at a time. So the
        stream waits for that runner's prefill, not for the end of a stream.
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
        """Return the earliest start on a runner with free capacity.

        The second value is the number of such runners.
        """
        for_long_prompt = self._prefill.exceeds_pause_limit(request)
        found_s = [
            self._prefill.self_prefill_start_s(
                runner,
                request.self_prefill_tokens,
                self._now_s,
                pause_target_s=request.pause_target_s,
            )
            for runner in self._fleet.candidates(request)
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
        """Return when a decode runner may prefill a prompt of any length.

        This assumes that the runner gets no new streams; if others wait, the
        time comes later or never.
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
