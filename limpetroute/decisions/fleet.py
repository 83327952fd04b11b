"""The runners by role and model, ordered so that none is searched for.

Load pattern: thousands of runners. A decision that walks over all of
them costs 1,800 steps for each request; here runners stand in one
sorted list for each role and model, prefill by the least work sent,
decode by the most free slots, and a change moves one of them.
"""

import typing

import sortedcontainers

from limpetroute.decisions import load_report
from limpetroute.decisions import runner_facts
from limpetroute.decisions import runner_state

Key = tuple[runner_facts.Role, str]
_Place = tuple[float, str]


class Fleet:
    """Keeps runners and hands out the few that are worth a look."""

    __slots__ = ('_lists', '_names', '_places', 'runners')

    def __init__(self) -> None:
        self.runners: dict[str, runner_state.RunnerState] = {}
        self._lists: dict[Key, sortedcontainers.SortedList] = {}
        self._names: dict[Key, sortedcontainers.SortedList] = {}
        self._places: dict[str, _Place] = {}

    def __len__(self) -> int:
        return len(self.runners)

    def add(self, facts: runner_facts.RunnerFacts) -> bool:
        """Take an announcement; return whether anything changed."""
        old = self.runners.get(facts.runner_id)
        if old is not None and old.facts == facts:
            return False
        if old is not None:
            self._unlist(old)
        if old is not None and old.facts.incarnation == facts.incarnation:
            old.facts = facts
            self._list(old)
            return True
        state = runner_state.RunnerState(facts=facts)
        self.runners[facts.runner_id] = state
        self._list(state)
        return True

    def remove(self, runner_id: str) -> runner_state.RunnerState | None:
        """Forget a runner and return what was known of it."""
        state = self.runners.pop(runner_id, None)
        if state is not None:
            self._unlist(state)
        return state

    def moved(self, state: runner_state.RunnerState) -> None:
        """Put a runner where its changed load belongs."""
        runner_id = state.facts.runner_id
        old = self._places.get(runner_id)
        new = _place(state)
        if old is None or old == new:
            return
        self._places[runner_id] = new
        for model in state.facts.models:
            listed = self._lists[(state.facts.role, model)]
            listed.remove(old)
            listed.add(new)

    def best(
        self, role: runner_facts.Role, model: str, count: int
    ) -> typing.Iterator[runner_state.RunnerState]:
        """Yield up to ``count`` usable runners, least loaded first."""
        for _, runner_id in self._lists.get((role, model), ()):
            if count == 0:
                return
            state = self.runners[runner_id]
            if not state.usable:
                continue
            count -= 1
            yield state

    def top(
        self, role: runner_facts.Role, model: str
    ) -> runner_state.RunnerState | None:
        """Return the least loaded usable runner."""
        for _, runner_id in self._lists.get((role, model), ()):
            state = self.runners[runner_id]
            if state.usable:
                return state
        return None

    def listed(
        self, role: runner_facts.Role, model: str, count: int
    ) -> list[runner_state.RunnerState]:
        """Return up to ``count`` runners of a model, usable or not."""
        found = self._lists.get((role, model), ())
        return [
            self.runners[found[place][1]]
            for place in range(min(count, len(found)))
        ]

    def first(self, role: runner_facts.Role, model: str) -> str | None:
        """Return the same runner on every host: the least name."""
        names = self._names.get((role, model))
        return names[0] if names else None

    def count(self, role: runner_facts.Role, model: str) -> int:
        """Count the runners of a model."""
        return len(self._lists.get((role, model), ()))

    def take_report(
        self, state: runner_state.RunnerState, report: load_report.LoadReport
    ) -> None:
        """Put down to other hosts what the report has beyond our own."""
        if state.facts.role is not runner_facts.Role.DECODE:
            return
        state.foreign_slots = max(0, report.running - len(state.held))
        state.foreign_bytes = max(0, report.kv_used_bytes - state.held_bytes)
        self.moved(state)

    def _list(self, state: runner_state.RunnerState) -> None:
        place = _place(state)
        self._places[state.runner_id] = place
        for model in state.facts.models:
            key = (state.facts.role, model)
            if key not in self._lists:
                self._lists[key] = sortedcontainers.SortedList()
                self._names[key] = sortedcontainers.SortedList()
            self._lists[key].add(place)
            self._names[key].add(state.runner_id)

    def _unlist(self, state: runner_state.RunnerState) -> None:
        place = self._places.pop(state.runner_id)
        for model in state.facts.models:
            key = (state.facts.role, model)
            self._lists[key].remove(place)
            self._names[key].remove(state.runner_id)
            if not self._lists[key]:
                del self._lists[key]
                del self._names[key]


def _place(state: runner_state.RunnerState) -> _Place:
    if state.facts.role is runner_facts.Role.DECODE:
        return (-state.free_slots, state.runner_id)
    return (state.outstanding_s, state.runner_id)
