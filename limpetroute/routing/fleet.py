"""The runners of a service that may be given work now."""

import typing

from limpetroute.decisions import stage as stage_module
from limpetroute.routing import free_memory_index
from limpetroute.routing import outlier_detector
from limpetroute.routing import reservations
from limpetroute.routing import runner_info
from limpetroute.routing import runner_limits


class Fleet:
    """The runners of a service that may be given work now.

    Parameters
    ----------
    reserved : Reservations
        The slots that are reserved.
    outliers : OutlierDetector
        Which runners are ejected.
    limits : RunnerLimits
        Requests a second that runners take.
    """

    def __init__(
        self,
        *,
        reserved: reservations.Reservations,
        outliers: outlier_detector.OutlierDetector,
        limits: runner_limits.RunnerLimits,
    ) -> None:
        self._reservations = reserved
        self._outliers = outliers
        self._limits = limits
        self._known: list[runner_info.RunnerInfo] = []
        self._changing: frozenset[str] = frozenset()
        self._ready: dict[
            stage_module.Stage | None, dict[str, runner_info.RunnerInfo]
        ] = {}
        self._unusable: tuple[set[str], set[str]] = (set(), set())
        self.decode_runners = free_memory_index.FreeMemoryIndex()
        self.prefill_runners: list[runner_info.RunnerInfo] = []

    def __repr__(self) -> str:
        return (
            f'{type(self).__name__}('
            f'decode_runners={len(self.decode_runners)!r}, '
            f'prefill_runners={len(self.prefill_runners)!r})'
        )

    def refresh(
        self,
        runners: typing.Iterable[runner_info.RunnerInfo],
        changing: typing.Collection[str],
        now_s: float,
    ) -> bool:
        """Take note of the runners; return whether others may be used now.

        ``changing`` are runners that were told to change their stage: for
        some seconds they refuse all, and are announced as they were.
        """
        known = list(runners)
        # Unchanged runners are the same objects, which compare at once.
        is_new = known != self._known or set(changing) != self._changing
        if is_new:
            self._known = known
            self._changing = frozenset(changing)
            self._ready = {}
            for one in known:
                if one.ready and one.runner_id not in self._changing:
                    of_stage = self._ready.setdefault(one.stage, {})
                    of_stage[one.runner_id] = one
        unusable = self._find_unusable(now_s)
        if not is_new and unusable == self._unusable:
            return False
        ejected, self._unusable = self._unusable[0], unusable
        if is_new:
            self._index(now_s)
        else:
            self._eject(unusable[0] - ejected, ejected - unusable[0], now_s)
        ready = self._ready.get(stage_module.Stage.PREFILL, {})
        self.prefill_runners = [
            one for name, one in ready.items() if name not in unusable[1]
        ]
        return True

    def update(self, now_s: float) -> None:
        """Take note of what runners have free whose streams changed."""
        for runner_id in self._reservations.take_changed():
            if runner_id in self.decode_runners:
                self.decode_runners.put(
                    self.decode_runners.runner(runner_id),
                    self._reservations.free_tokens(runner_id, now_s),
                )

    def by_free_memory(
        self, runner_ids: typing.Iterable[str]
    ) -> list[runner_info.RunnerInfo]:
        """Return some decode runners that may be used, most free first."""
        known = [one for one in runner_ids if one in self.decode_runners]
        known.sort(
            key=lambda one: (-self.decode_runners.free_tokens(one), one)
        )
        return [self.decode_runners.runner(one) for one in known]

    def _index(self, now_s: float) -> None:
        self._reservations.take_changed()
        self.decode_runners = free_memory_index.FreeMemoryIndex()
        ready = self._ready.get(stage_module.Stage.DECODE, {})
        for runner_id, one in ready.items():
            if runner_id not in self._unusable[0]:
                free = self._reservations.free_tokens(runner_id, now_s)
                self.decode_runners.put(one, free)

    def _eject(
        self, newly_ejected: set[str], readmitted: set[str], now_s: float
    ) -> None:
        for runner_id in newly_ejected:
            self.decode_runners.remove(runner_id)
        ready = self._ready.get(stage_module.Stage.DECODE, {})
        for runner_id in readmitted:
            free = self._reservations.free_tokens(runner_id, now_s)
            self.decode_runners.put(ready[runner_id], free)

    def _find_unusable(self, now_s: float) -> tuple[set[str], set[str]]:
        """Return the decode and the prefill runners that get no work.

        With none left of a stage, the ones that failed are better than
        nothing: the failure may have been one connection's. Only prompts
        need no prefill runner; one that is gone and still registered
        would be given every prompt for want of another.
        """
        decode_runners = self._ready.get(stage_module.Stage.DECODE, {})
        prefill_runners = self._ready.get(stage_module.Stage.PREFILL, {})
        ejected_decode = self._outliers.ejected(decode_runners, now_s)
        if len(ejected_decode) == len(decode_runners):
            ejected_decode = set()
        ejected_prefill = self._outliers.ejected(prefill_runners, now_s)
        if len(ejected_prefill) == len(prefill_runners):
            if decode_runners:
                ejected_prefill = {
                    one
                    for one in ejected_prefill
                    if self._outliers.runner_gone_s(one, now_s)
                }
            else:
                ejected_prefill = set()
        return ejected_decode, ejected_prefill | self._limits.exhausted(
            prefill_runners, now_s
        )
