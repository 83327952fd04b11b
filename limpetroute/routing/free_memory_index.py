"""Index of the usable decode runners by free memory."""

import typing

import sortedcontainers

from limpetroute.routing import runner_info


class FreeMemoryIndex:
    """The usable decode runners in descending order of free memory."""

    def __init__(self) -> None:
        self._runners: dict[str, runner_info.RunnerInfo] = {}
        self._free_tokens: dict[str, float] = {}
        self._order = sortedcontainers.SortedList()
        self._zones: dict[str, sortedcontainers.SortedList] = {}

    def __repr__(self) -> str:
        return f'{type(self).__name__}(runners={len(self._runners)!r})'

    def __len__(self) -> int:
        return len(self._runners)

    def __contains__(self, runner_id: str) -> bool:
        return runner_id in self._runners

    def __iter__(self) -> typing.Iterator[runner_info.RunnerInfo]:
        return iter(self._runners.values())

    def put(self, runner: runner_info.RunnerInfo, free_tokens: float) -> None:
        """Add a runner or update its free memory."""
        self.remove(runner.runner_id)
        key = (-free_tokens, runner.runner_id)
        self._runners[runner.runner_id] = runner
        self._free_tokens[runner.runner_id] = free_tokens
        self._order.add(key)
        zone = self._zones.setdefault(
            runner.zone, sortedcontainers.SortedList()
        )
        zone.add(key)

    def remove(self, runner_id: str) -> None:
        """Remove a runner if it is present."""
        runner = self._runners.pop(runner_id, None)
        if runner is None:
            return
        key = (-self._free_tokens.pop(runner_id), runner_id)
        self._order.remove(key)
        self._zones[runner.zone].remove(key)

    def runner(self, runner_id: str) -> runner_info.RunnerInfo:
        """Return a runner by its identity."""
        return self._runners[runner_id]

    def at(self, position: int) -> runner_info.RunnerInfo:
        """Return the runner at a position, from 0 for the most free memory."""
        return self._runners[self._order[position][1]]

    def free_tokens(self, runner_id: str) -> float:
        """Return the free memory of a runner in tokens."""
        return self._free_tokens[runner_id]

    def by_free_memory(
        self, zone: str | None = None
    ) -> typing.Iterator[tuple[float, runner_info.RunnerInfo]]:
        """Yield free memory and runner, most free memory first.

        Parameters
        ----------
        zone : str or None
            Restricts the runners to one zone; None for all.
        """
        order = self._order if zone is None else self._zones.get(zone, ())
        for negated, runner_id in order:
            yield -negated, self._runners[runner_id]
