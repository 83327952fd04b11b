"""Chooses the runners of waiting streams in one scheduling pass."""

import dataclasses
import math
import typing

from limpetroute.routing import decode_placement as placement_module
from limpetroute.routing import fleet as fleet_module
from limpetroute.routing import placement
from limpetroute.routing import prefill_queue
from limpetroute.routing import runner_info
from limpetroute.routing import waiting_stream


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ChosenRunners:
    """The runners chosen for one stream.

    Parameters
    ----------
    decode_runner : RunnerInfo
        Runner that decodes its answer.
    prefill_runner : RunnerInfo or None
        Runner that prefills its prompt; None if the decode runner does.
    ready_s : float
        Expected time of its first event.
    """

    decode_runner: runner_info.RunnerInfo
    prefill_runner: runner_info.RunnerInfo | None
    ready_s: float


class RunnerSelector:
    """Chooses the runners of waiting streams in one scheduling pass.

    Results are reused for the streams further back in the queue: once all
    prefill runners are busy, they are not searched again in this pass.

    Parameters
    ----------
    prefill : PrefillQueue
        Expected prefill times of the runners.
    decode_placement : DecodePlacement
        Finds the decode runner with enough free memory.
    fleet : Fleet
        The runners in use.
    freed : sequence of RunnerInfo
        Decode runners at which a stream has ended since the last pass, the
        one with the most free memory first.
    now_s : float
        Time of the pass.
    """

    def __init__(
        self,
        *,
        prefill: prefill_queue.PrefillQueue,
        decode_placement: placement_module.DecodePlacement,
        fleet: fleet_module.Fleet,
        freed: typing.Sequence[runner_info.RunnerInfo],
        now_s: float,
    ) -> None:
        self._prefill = prefill
        self._decode_placement = decode_placement
        self._fleet = fleet
        self._freed = freed
        self._now_s = now_s
        self._prefill_runner: runner_info.RunnerInfo | None = None
        self._prefill_runner_is_busy = False
        self._candidates: dict[
            tuple[int, float | None], list[runner_info.RunnerInfo]
        ] = {}

    def __repr__(self) -> str:
        return f'{type(self).__name__}(now_s={self._now_s!r})'

    @property
    def freed_tokens(self) -> float:
        """Most free memory of any runner in `freed`, in tokens."""
        return max(map(self._free_tokens, self._freed), default=-math.inf)

    def choose(
        self, stream: waiting_stream.WaitingStream
    ) -> ChosenRunners | None:
        """Return the runners for a stream, or None if it must wait.

        The caller must reserve the runners before it chooses those of the
        next stream.
        """
        request = stream.request
        prefill_runner = None
        is_busy = False
        if request.reads_prompt:
            prefill_runner, is_busy = self._first_free_prefill_runner(request)
        if prefill_runner is not None and is_busy:
            # A decode runner that prefills itself is slower, but may finish
            # earlier than the busy prefill runner with its queue.
            if (
                not self._prefill.decodes_during_prefill
                or not self._self_prefill_candidates(request)
            ):
                return None
            ready_s = self._prefill.ready_s(request, None, self._now_s)
            if ready_s >= self._prefill.ready_s(
                request, prefill_runner, self._now_s
            ):
                return None
            prefill_runner = None
        else:
            ready_s = self._prefill.ready_s(
                request, prefill_runner, self._now_s
            )
        if prefill_runner is None and not request.is_prefilled:
            decode_runner = self._self_prefilling_decode_runner(
                stream, ready_s
            )
        else:
            decode_runner = self._best_decode_runner(stream, ready_s)
        if decode_runner is None:
            return None
        if prefill_runner is None:
            self._candidates.clear()
        else:
            self._prefill_runner = None
        return ChosenRunners(
            decode_runner=decode_runner,
            prefill_runner=prefill_runner,
            ready_s=ready_s,
        )

    def _free_tokens(self, runner: runner_info.RunnerInfo) -> float:
        return self._fleet.decode_runners.free_tokens(runner.runner_id)

    def _first_free_prefill_runner(
        self, request: placement.PlacementRequest
    ) -> tuple[runner_info.RunnerInfo | None, bool]:
        """Return the next prefill runner and whether it is busy."""
        if request.avoid or request.blocked_until_s:
            runner = self._prefill.first_free(self._now_s, request)
            return runner, self._is_busy(runner)
        if self._prefill_runner is None:
            self._prefill_runner = self._prefill.first_free(self._now_s)
            self._prefill_runner_is_busy = self._is_busy(self._prefill_runner)
        return self._prefill_runner, self._prefill_runner_is_busy

    def _is_busy(self, runner: runner_info.RunnerInfo | None) -> bool:
        return runner is not None and not self._prefill.may_queue(
            runner, self._now_s
        )

    def _best_decode_runner(
        self, stream: waiting_stream.WaitingStream, ready_s: float
    ) -> runner_info.RunnerInfo | None:
        if stream.fits_nowhere:
            return self._decode_placement.best_of(
                stream.request, self._freed, ready_s, self._now_s
            )
        found = self._decode_placement.best(
            stream.request, ready_s, self._now_s
        )
        stream.fits_nowhere = found is None
        return found

    def _self_prefilling_decode_runner(
        self, stream: waiting_stream.WaitingStream, ready_s: float
    ) -> runner_info.RunnerInfo | None:
        """Return the best decode runner to prefill the prompt itself."""
        candidates = self._self_prefill_candidates(stream.request)
        if stream.request.version is not None:
            candidates = [
                runner
                for runner in self._fleet.candidates(stream.request)
                if self._may_self_prefill(runner, stream.request)
            ]
        if self._prefill.exceeds_pause_limit(stream.request):
            on_time = stream.meets_targets(ready_s)
            candidates = [
                runner
                for runner in candidates
                if self._prefill.may_prefill_long(runner, on_time=on_time)
            ]
        return self._decode_placement.best_of(
            stream.request, candidates, ready_s, self._now_s
        )

    def _self_prefill_candidates(
        self, request: placement.PlacementRequest
    ) -> list[runner_info.RunnerInfo]:
        """Return decode runners that may prefill now, most free memory first.

        The list is reused for prompts of a similar length.
        """
        key = _planned_tokens(request), request.pause_target_s
        found = self._candidates.get(key)
        if found is None:
            found = [
                runner
                for _, runner in self._fleet.decode_runners.by_free_memory()
                if self._may_self_prefill(runner, request)
            ]
            self._candidates[key] = found
        return found

    def _may_self_prefill(
        self,
        runner: runner_info.RunnerInfo,
        request: placement.PlacementRequest,
    ) -> bool:
        return self._prefill.may_self_prefill(
            runner,
            _planned_tokens(request),
            self._now_s,
            pause_target_s=request.pause_target_s,
        )


def _planned_tokens(request: placement.PlacementRequest) -> int:
    """Return the tokens to prefill, rounded up to a power of two."""
    return 1 << max(0, request.self_prefill_tokens - 1).bit_length()
