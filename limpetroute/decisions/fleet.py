"""Runners by role and model, sorted by load.

Load pattern: thousands of runners. A decision that scans all of them
takes 1,800 steps for each request. Here each pair of role and model has
a sorted list: prefill runners by the least outstanding work, decode
runners by the most free slots. A change moves one entry.
"""

import typing

import sortedcontainers

from limpetroute.decisions import load_report
from limpetroute.decisions import runner_facts
from limpetroute.decisions import runner_state

_PoolKey = tuple[runner_facts.Role, str]
_SortKey = tuple[float, str]


class Fleet:
    """Stores the runners and returns the least loaded of a pool."""

    __slots__ = ('_by_id', '_by_load', '_sort_keys', 'runners')

    def __init__(self) -> None:
        self.runners: dict[str, runner_state.RunnerState] = {}
        self._by_load: dict[_PoolKey, sortedcontainers.SortedList] = {}
        self._by_id: dict[_PoolKey, sortedcontainers.SortedList] = {}
        self._sort_keys: dict[str, _SortKey] = {}

    def __len__(self) -> int:
        return len(self.runners)

    def add(self, facts: runner_facts.RunnerFacts) -> bool:
        """Store an announcement; return whether anything changed."""
        old = self.runners.get(facts.runner_id)
        if old is not None and old.facts == facts:
            return False
        if old is not None:
            self._remove(old)
        if old is not None and old.facts.incarnation == facts.incarnation:
            old.facts = facts
            self._insert(old)
            return True
        state = runner_state.RunnerState(facts=facts)
        self.runners[facts.runner_id] = state
        self._insert(state)
        return True

    def remove(self, runner_id: str) -> runner_state.RunnerState | None:
        """Remove a runner and return its state."""
        state = self.runners.pop(runner_id, None)
        if state is not None:
            self._remove(state)
        return state

    def reorder(self, state: runner_state.RunnerState) -> None:
        """Update a runner's position after its load changed."""
        runner_id = state.facts.runner_id
        old = self._sort_keys.get(runner_id)
        new = _sort_key(state)
        if old is None or old == new:
            return
        self._sort_keys[runner_id] = new
        for model in state.facts.models:
            listed = self._by_load[(state.facts.role, model)]
            listed.remove(old)
            listed.add(new)

    def least_loaded(
        self, role: runner_facts.Role, model: str, count: int
    ) -> typing.Iterator[runner_state.RunnerState]:
        """Yield up to ``count`` usable runners, least loaded first."""
        for _, runner_id in self._by_load.get((role, model), ()):
            if count == 0:
                return
            state = self.runners[runner_id]
            if not state.usable:
                continue
            count -= 1
            yield state

    def least_loaded_runner(
        self, role: runner_facts.Role, model: str
    ) -> runner_state.RunnerState | None:
        """Return the least loaded usable runner."""
        for _, runner_id in self._by_load.get((role, model), ()):
            state = self.runners[runner_id]
            if state.usable:
                return state
        return None

    def runners_of(
        self, role: runner_facts.Role, model: str, count: int
    ) -> list[runner_state.RunnerState]:
        """Return up to ``count`` runners of a model, usable or not."""
        found = self._by_load.get((role, model), ())
        return [
            self.runners[found[sort_key][1]]
            for sort_key in range(min(count, len(found)))
        ]

    def lowest_id(self, role: runner_facts.Role, model: str) -> str | None:
        """Return the least runner name, which is the same on all hosts."""
        names = self._by_id.get((role, model))
        return names[0] if names else None

    def count(self, role: runner_facts.Role, model: str) -> int:
        """Count the runners of a model."""
        return len(self._by_load.get((role, model), ()))

    def apply_report(
        self, state: runner_state.RunnerState, report: load_report.LoadReport
    ) -> None:
        """Attribute load beyond this host's reservations to other hosts."""
        if state.facts.role is not runner_facts.Role.DECODE:
            return
        state.foreign_slots = max(0, report.running - len(state.reservations))
        state.foreign_bytes = max(
            0, report.kv_used_bytes - state.reserved_bytes
        )
        self.reorder(state)

    def _insert(self, state: runner_state.RunnerState) -> None:
        sort_key = _sort_key(state)
        self._sort_keys[state.runner_id] = sort_key
        for model in state.facts.models:
            key = (state.facts.role, model)
            if key not in self._by_load:
                self._by_load[key] = sortedcontainers.SortedList()
                self._by_id[key] = sortedcontainers.SortedList()
            self._by_load[key].add(sort_key)
            self._by_id[key].add(state.runner_id)

    def _remove(self, state: runner_state.RunnerState) -> None:
        sort_key = self._sort_keys.pop(state.runner_id)
        for model in state.facts.models:
            key = (state.facts.role, model)
            self._by_load[key].remove(sort_key)
            self._by_id[key].remove(state.runner_id)
            if not self._by_load[key]:
                del self._by_load[key]
                del self._by_id[key]


def _sort_key(state: runner_state.RunnerState) -> _SortKey:
    if state.facts.role is runner_facts.Role.DECODE:
        return (-state.free_slots, state.runner_id)
    return (state.outstanding_prefill_s, state.runner_id)
