"""Runners that accept no requests from this host for now."""

import collections
import math
import typing

from limpetroute.routing import runner_incarnation
from limpetroute.routing import runner_info

# The entry that was recorded first is removed first.
MAX_ENTRIES = 4000


class RunnerAvailability:
    """Runners that accept no requests from this host for now.

    A runner may ask a host to back off while it serves other hosts, and it
    announces in its responses that it is about to leave. Both may differ
    from the state in its heartbeats.

    A backoff outlives a restart of the runner, because nothing tells which
    of the two processes sent the response. A restarted runner is no longer
    leaving.
    """

    def __init__(self) -> None:
        self._backoff_until_s: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self._leaving: collections.OrderedDict[
            runner_incarnation.RunnerIncarnation, None
        ] = collections.OrderedDict()

    def __repr__(self) -> str:
        return (
            f'{type(self).__name__}(backoffs={len(self._backoff_until_s)!r}, '
            f'leaving={len(self._leaving)!r})'
        )

    def note_backoff(self, runner_id: str, until_s: float) -> None:
        """Record a backoff; one that ends earlier changes nothing."""
        known_s = self._backoff_until_s.pop(runner_id, -math.inf)
        self._backoff_until_s[runner_id] = max(known_s, until_s)
        if len(self._backoff_until_s) > MAX_ENTRIES:
            self._backoff_until_s.popitem(last=False)

    def note_leaving(
        self, incarnation: runner_incarnation.RunnerIncarnation
    ) -> bool:
        """Record that a runner is leaving; return whether that is new."""
        if incarnation in self._leaving:
            return False
        self._leaving[incarnation] = None
        if len(self._leaving) > MAX_ENTRIES:
            self._leaving.popitem(last=False)
        return True

    def is_leaving(self, runner: runner_info.RunnerInfo) -> bool:
        """Return whether a runner has announced that it is leaving."""
        return runner.incarnation in self._leaving

    def backoff_s(self, runner_id: str, now_s: float) -> float:
        """Return the rest of a runner's backoff in seconds, or 0."""
        until_s = self._backoff_until_s.get(runner_id, -math.inf)
        return max(0.0, until_s - now_s)

    def accepts(self, runner: runner_info.RunnerInfo, now_s: float) -> bool:
        """Return whether a request may be sent to a runner now."""
        return not (
            self.is_leaving(runner) or self.backoff_s(runner.runner_id, now_s)
        )

    def accepting(
        self, runners: typing.Iterable[runner_info.RunnerInfo], now_s: float
    ) -> list[runner_info.RunnerInfo]:
        """Return the runners to which a request may be sent now."""
        return [one for one in runners if self.accepts(one, now_s)]

    def first_backoff_end_s(
        self, runners: typing.Iterable[runner_info.RunnerInfo], now_s: float
    ) -> float:
        """Return the time until the first of the backoffs ends.

        0 if no ready runner is left out because of its backoff alone.
        """
        waits_s = [
            self.backoff_s(one.runner_id, now_s)
            for one in runners
            if one.ready and not self.is_leaving(one)
        ]
        return min((wait_s for wait_s in waits_s if wait_s), default=0.0)
