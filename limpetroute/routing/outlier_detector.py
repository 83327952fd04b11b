"""Which runners are given work, as told by how streams went there."""

import typing

from limpetroute.routing import runner_info
from limpetroute.routing import runner_load

# Places taken by hosts out of reach are counted for this long after a
# refusal; a stream lasts about four seconds, and one that ends is not
# seen either.
HIDDEN_S = 1.5


class OutlierDetector:
    """Which runners are given work, as told by how streams went there.

    Health checks say little: a runner may answer them and fail its
    requests. What counts is how the streams sent to it ended.

    Parameters
    ----------
    uses : callable
        Returns how many streams are at a runner.
    """

    def __init__(self, *, uses: typing.Callable[[str], int]) -> None:
        self._uses = uses
        self._health: dict[str, runner_load.RunnerLoad] = {}
        self._hidden: dict[str, tuple[int, float]] = {}

    def __repr__(self) -> str:
        return f'{type(self).__name__}(health={self._health!r})'

    def failed(self, runner_id: str, now_s: float) -> None:
        """Note that a runner did not answer as it should."""
        self._health_of(runner_id).note_failure(now_s)

    def went_well(self, runner_id: str) -> None:
        """Note that a stream went well."""
        self._health_of(runner_id).note_success(0.0)

    def forget(self, runner_id: str) -> None:
        """Forget what is known of a runner; it has started again."""
        self._health.pop(runner_id, None)
        self._hidden.pop(runner_id, None)

    def full(self, runner_id: str, hidden: int, now_s: float) -> None:
        """Count places that hosts out of reach must have taken.

        A host that cannot reach the leader decides alone. What it sends
        is not seen here, only that a runner refuses while it should
        have room; prompts would be read in vain for it again and again.
        """
        self._hidden[runner_id] = (max(1, hidden), now_s + HIDDEN_S)

    def hidden(self, runner_id: str, now_s: float) -> int:
        """Return the places that others are taken to use."""
        hidden, until_s = self._hidden.get(runner_id, (0, 0.0))
        return hidden if now_s < until_s else 0

    def usable(
        self, runners: typing.Iterable[runner_info.RunnerInfo], now_s: float
    ) -> list[runner_info.RunnerInfo]:
        """Return ready runners, without those that failed of late.

        After its rest, a runner that failed gets one stream, and more
        only once that one went well: given all it has places for, it
        would fail them all again. With none left of a stage, the ones
        that failed are better than nothing: the failure may have been
        one connection's.
        """
        ready = [one for one in runners if one.ready]
        usable = []
        for one in ready:
            peers = [two for two in ready if two.stage is one.stage]
            avoided = [two for two in peers if self._is_avoided(two, now_s)]
            if one in avoided and len(avoided) < len(peers):
                continue
            usable.append(one)
        return usable

    def without_gone_readers(
        self, readers: list[runner_info.RunnerInfo], now_s: float
    ) -> list[runner_info.RunnerInfo]:
        """Return the prefill runners that are worth waiting for.

        Writers can read prompts too. A reader that is gone and still
        registered would be given every prompt for want of another: each
        caller was refused after two readings that came to nothing.
        """
        return [
            one
            for one in readers
            if not self._is_avoided(one, now_s)
            or not self._health_of(one.runner_id).gone_s(now_s)
        ]

    def gone_s(
        self, runners: typing.Iterable[runner_info.RunnerInfo], now_s: float
    ) -> dict[str, float]:
        """Return for how long runners have seemed gone, by identity."""
        found = {}
        for one in runners:
            gone_s = self._health_of(one.runner_id).gone_s(now_s)
            if gone_s:
                found[one.runner_id] = gone_s
        return found

    def _is_avoided(
        self, runner: runner_info.RunnerInfo, now_s: float
    ) -> bool:
        health = self._health_of(runner.runner_id)
        if health.rests(now_s):
            return True
        return health.failures > 0 and self._uses(runner.runner_id) > 0

    def _health_of(self, runner_id: str) -> runner_load.RunnerLoad:
        return self._health.setdefault(runner_id, runner_load.RunnerLoad())
