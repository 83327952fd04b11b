"""Tracks which runners of a service may be given streams."""

import typing

from limpetroute.decisions import stage as stage_module
from limpetroute.routing import free_memory_index
from limpetroute.routing import outlier_detector
from limpetroute.routing import placement
from limpetroute.routing import reservations
from limpetroute.routing import runner_info
from limpetroute.routing import runner_limits


class Fleet:
    """Tracks which runners of a service may be given streams.

    Parameters
    ----------
    reserved : Reservations
        The reserved slots.
    outliers : OutlierDetector
        Determines which runners are ejected.
    limits : RunnerLimits
        Request rates that the runners accept.
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
        self._runners: list[runner_info.RunnerInfo] = []
        self._changing: frozenset[str] = frozenset()
        self._ready: dict[
            stage_module.Stage | None, dict[str, runner_info.RunnerInfo]
        ] = {}
        self._unusable: tuple[set[str], set[str]] = (set(), set())
        # Runners that streams bound to a version may go on at.
        self._of_version: dict[str, list[runner_info.RunnerInfo]] = {}
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
        """Update the runners and return whether the usable ones changed.

        ``changing`` are runners that were ordered to change their stage. For
        some seconds they refuse all requests but are still announced with
        their old stage.
        """
        current = list(runners)
        # Unchanged runners are the same objects, so this comparison is cheap.
        is_new = current != self._runners or set(changing) != self._changing
        if is_new:
            self._runners = current
            self._changing = frozenset(changing)
            self._ready = {}
            for one in current:
                if one.ready and one.runner_id not in self._changing:
                    of_stage = self._ready.setdefault(one.stage, {})
                    of_stage[one.runner_id] = one
        unusable = self._find_unusable(now_s)
        if not is_new and unusable == self._unusable:
            return False
        self._of_version.clear()
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

    @property
    def runner_ids(self) -> set[str]:
        """Identities of all runners that are announced."""
        return {one.runner_id for one in self._runners}

    def ready(
        self, stage: stage_module.Stage
    ) -> typing.Iterable[runner_info.RunnerInfo]:
        """Return the ready runners of a stage, also those ejected."""
        return self._ready.get(stage, {}).values()

    def update(self, now_s: float) -> None:
        """Update the free memory of runners whose streams changed."""
        for runner_id in self._reservations.take_changed():
            if runner_id in self.decode_runners:
                self.decode_runners.put(
                    self.decode_runners.runner(runner_id),
                    self._reservations.free_tokens(runner_id, now_s),
                )

    def by_free_memory(
        self, runner_ids: typing.Iterable[str]
    ) -> list[runner_info.RunnerInfo]:
        """Return the given decode runners that are usable, most free first."""
        usable = [one for one in runner_ids if one in self.decode_runners]
        usable.sort(
            key=lambda one: (-self.decode_runners.free_tokens(one), one)
        )
        return [self.decode_runners.runner(one) for one in usable]

    def candidates(
        self, request: placement.PlacementRequest
    ) -> placement.DecodeRunners:
        """Return the decode runners that may be chosen for a stream.

        A stream that is bound to a version has no others: if all of these
        are ejected, they are used all the same.
        """
        if request.version is None:
            return self.decode_runners
        known = self._of_version.get(request.version)
        if known is None:
            ready = self._ready.get(stage_module.Stage.DECODE, {})
            known = [
                one for one in ready.values() if request.may_go_on_at(one)
            ]
            usable = [
                one for one in known if one.runner_id in self.decode_runners
            ]
            known = usable or known
            self._of_version[request.version] = known
        return known

    def has_only_ejected(self, request: placement.PlacementRequest) -> bool:
        """Return whether all runners that a stream may use are ejected."""
        return request.version is not None and any(
            one.runner_id not in self.decode_runners
            for one in self.candidates(request)
        )

    def free_tokens(
        self, runner: runner_info.RunnerInfo, now_s: float
    ) -> float:
        """Return the free memory of a decode runner, also if it is ejected."""
        if runner.runner_id in self.decode_runners:
            return self.decode_runners.free_tokens(runner.runner_id)
        return self._reservations.free_tokens(runner.runner_id, now_s)

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
        """Return the decode and the prefill runners that get no streams.

        If all runners of a stage are ejected, they are used all the same: the
        failure may have been that of a single connection. Prefill runners that
        seem gone are the exception while there are decode runners, because
        these can prefill prompts themselves; a prefill runner that is gone but
        still registered would otherwise be given every prompt.
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
