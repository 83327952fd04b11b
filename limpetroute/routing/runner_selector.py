"""Chooses the runners of waiting streams, at one moment."""

import dataclasses
import math
import typing

from limpetroute.routing import decode_placement as placement_module
from limpetroute.routing import fleet as fleet_module
from limpetroute.routing import prefill_queue
from limpetroute.routing import runner_info
from limpetroute.routing import waiting_stream


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ChosenRunners:
    """The runners of one stream.

    Parameters
    ----------
    decode_runner : RunnerInfo
        Writes its answer.
    prefill_runner : RunnerInfo or None
        Reads its prompt; None if the decode runner does.
    ready_s : float
        When its first event is expected.
    """

    decode_runner: runner_info.RunnerInfo
    prefill_runner: runner_info.RunnerInfo | None
    ready_s: float


class RunnerSelector:
    """Chooses the runners of waiting streams, at one moment.

    What is found for one stream holds for those behind it: with all
    prefill runners busy, the rest of the queue is not offered to them.

    Parameters
    ----------
    prefill : PrefillQueue
        When runners may read.
    decode_placement : DecodePlacement
        Which decode runner has room.
    fleet : Fleet
        The runners that are used now.
    freed : sequence of RunnerInfo
        Decode runners that a stream has left, most free first.
    now_s : float
        The moment.
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
        self._idle: list[runner_info.RunnerInfo] | None = None

    def __repr__(self) -> str:
        return f'{type(self).__name__}(now_s={self._now_s!r})'

    @property
    def freed_tokens(self) -> float:
        """Most memory that is free at a runner that a stream has left."""
        return max(map(self._free_tokens, self._freed), default=-math.inf)

    def choose(
        self, one: waiting_stream.WaitingStream
    ) -> ChosenRunners | None:
        """Return the runners that a stream gets, or None.

        They are expected to be taken before the next stream is asked for.
        """
        ask = one.request
        prefill_runner = (
            self._first_free_prefill_runner() if ask.reads_prompt else None
        )
        if prefill_runner is not None and self._prefill_runner_is_busy:
            # A decode runner with room that reads the prompt itself is
            # slower, but may be done sooner than the queue.
            if (
                not self._prefill.decodes_during_prefill
                or not self._idle_runners
            ):
                return None
            ready_s = self._prefill.ready_s(ask, None, self._now_s)
            if ready_s >= self._prefill.ready_s(
                ask, prefill_runner, self._now_s
            ):
                return None
            prefill_runner = None
        else:
            ready_s = self._prefill.ready_s(ask, prefill_runner, self._now_s)
        if prefill_runner is None:
            decode_runner = self._self_prefilling_decode_runner(one, ready_s)
        else:
            decode_runner = self._best_decode_runner(one, ready_s)
        if decode_runner is None:
            return None
        if prefill_runner is None:
            self._idle = None
        else:
            self._prefill_runner = None
        return ChosenRunners(
            decode_runner=decode_runner,
            prefill_runner=prefill_runner,
            ready_s=ready_s,
        )

    def _free_tokens(self, runner: runner_info.RunnerInfo) -> float:
        return self._fleet.decode_runners.free_tokens(runner.runner_id)

    def _first_free_prefill_runner(self) -> runner_info.RunnerInfo | None:
        if self._prefill_runner is None:
            self._prefill_runner = self._prefill.first_free(self._now_s)
            self._prefill_runner_is_busy = (
                self._prefill_runner is not None
                and not self._prefill.may_queue(
                    self._prefill_runner, self._now_s
                )
            )
        return self._prefill_runner

    def _best_decode_runner(
        self, one: waiting_stream.WaitingStream, ready_s: float
    ) -> runner_info.RunnerInfo | None:
        if one.fits_nowhere:
            return self._decode_placement.best_of(
                one.request, self._freed, ready_s, self._now_s
            )
        found = self._decode_placement.best(one.request, ready_s, self._now_s)
        one.fits_nowhere = found is None
        return found

    def _self_prefilling_decode_runner(
        self, one: waiting_stream.WaitingStream, ready_s: float
    ) -> runner_info.RunnerInfo | None:
        """Return the best decode runner that may read a prompt now."""
        idle = self._idle_runners
        if self._prefill.exceeds_pause_limit(one.request):
            on_time = one.meets_targets(ready_s)
            idle = [
                runner
                for runner in idle
                if self._prefill.may_prefill_long(runner, on_time=on_time)
            ]
        return self._decode_placement.best_of(
            one.request, idle, ready_s, self._now_s
        )

    @property
    def _idle_runners(self) -> list[runner_info.RunnerInfo]:
        """Decode runners that may read a prompt now, most free first."""
        if self._idle is None:
            self._idle = [
                one
                for _, one in self._fleet.decode_runners.by_free_memory()
                if self._prefill.may_self_prefill(one, self._now_s)
            ]
        return self._idle
