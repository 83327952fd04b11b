"""Which runners are given work, as told by how streams went there."""

import typing

from limpetroute.routing import runner_info
from limpetroute.routing import runner_load

# Slots taken by hosts out of reach are counted for this long after a
# rejection; their streams last longer, but one that ends is not seen.
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
        self._failing: dict[str, runner_load.RunnerLoad] = {}
        self._hidden: dict[str, tuple[int, float]] = {}

    def __repr__(self) -> str:
        return f'{type(self).__name__}(failing={self._failing!r})'

    def note_failure(self, runner_id: str, now_s: float) -> None:
        """Note that a runner did not answer as it should."""
        load = self._failing.setdefault(runner_id, runner_load.RunnerLoad())
        load.note_failure(now_s)

    def note_success(self, runner_id: str) -> None:
        """Note that a stream went well."""
        self._failing.pop(runner_id, None)

    def reset(self, runner_id: str) -> None:
        """Forget what is known of a runner; it has started again."""
        self._failing.pop(runner_id, None)
        self._hidden.pop(runner_id, None)

    def note_full(self, runner_id: str, hidden: int, now_s: float) -> None:
        """Count slots that hosts out of reach must have taken.

        A host that cannot reach the leader places by itself. What it
        sends is not seen here, only that a runner refuses while it should
        have room; prompts would be read in vain for it again and again.
        """
        self._hidden[runner_id] = (max(1, hidden), now_s + HIDDEN_S)

    def hidden_slots(self, runner_id: str, now_s: float) -> int:
        """Return the slots that others are taken to use."""
        hidden, until_s = self._hidden.get(runner_id, (0, 0.0))
        return hidden if now_s < until_s else 0

    def ejected(
        self, stage_runners: typing.Container[str], now_s: float
    ) -> set[str]:
        """Return which runners of a stage get no work now.

        After its ejection time, a runner that failed gets one stream,
        and more only once that one went well: given all it has slots
        for, it would fail them all again.

        Parameters
        ----------
        stage_runners : container of str
            Identities of the runners of one stage.
        now_s : float
            A steady clock.
        """
        return {
            runner_id
            for runner_id, load in self._failing.items()
            if runner_id in stage_runners
            and (load.is_ejected(now_s) or self._uses(runner_id) > 0)
        }

    def gone_s(
        self, runners: typing.Iterable[runner_info.RunnerInfo], now_s: float
    ) -> dict[str, float]:
        """Return for how long runners have seemed gone, by identity."""
        if not self._failing:
            return {}
        found = {}
        for one in runners:
            seemed_s = self.runner_gone_s(one.runner_id, now_s)
            if seemed_s:
                found[one.runner_id] = seemed_s
        return found

    def runner_gone_s(self, runner_id: str, now_s: float) -> float:
        """Return for how long one runner has seemed gone; 0 if it has not."""
        load = self._failing.get(runner_id)
        return load.gone_s(now_s) if load is not None else 0.0
