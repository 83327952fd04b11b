"""Decode speed of each runner by the number of streams beside."""

import bisect
import dataclasses
import typing

# Samples that the value above counts for, and the least weight of a sample:
# the pool's curve changes slowly, a runner's own speed within some streams.
GUESS_WEIGHT = 4
MIN_WEIGHT = 1 / 16
# Most that one sample differs from the expected speed. A stream that ran
# through a slow spell does not describe the next one.
MAX_RATIO = 2.0
# Levels of streams beside; the upper ones are wider, as a stream more makes
# less of a difference there.
LEVEL_ENDS = (0, 1, 2, 4, 6, 9, 13, 19, 28, 42, 63)


@dataclasses.dataclass(kw_only=True, slots=True)
class _Factor:
    """A moving mean of ratios that starts at 1."""

    mean: float = 1.0
    count: int = GUESS_WEIGHT

    def note(self, ratio: float) -> None:
        ratio = min(self.mean * MAX_RATIO, max(self.mean / MAX_RATIO, ratio))
        self.count += 1
        self.mean += (ratio - self.mean) * max(MIN_WEIGHT, 1 / self.count)


class RunnerSpeeds:
    """Decode speed of each runner by the number of streams beside.

    Pattern: one runner in four decodes at 0.55 of the usual speed. With the
    pool's mean speed, its streams were planned to end in half of the time that
    they take, and new ones were placed in memory that was still taken.

    The speed is that of the pool at a level of streams, times a factor of the
    runner, times a correction for the runner at that level. Each of them
    counts as 1 until it is measured.
    """

    def __init__(self) -> None:
        # Unit of the curve. The pool's mean is no unit: it moves with the mix
        # of runners at which streams end.
        self._unit_tokens_per_s = 0.0
        self._curve: dict[int, _Factor] = {}
        self._runners: dict[str, _Factor] = {}
        self._corrections: dict[str, dict[int, _Factor]] = {}

    def __repr__(self) -> str:
        return f'{type(self).__name__}(runners={len(self._runners)!r})'

    def tokens_per_s(
        self, runner_id: str, beside: int, mean_tokens_per_s: float
    ) -> float:
        """Return the expected decode speed of a stream at a runner.

        Parameters
        ----------
        runner_id : str
            The runner.
        beside : int
            Other streams at the runner.
        mean_tokens_per_s : float
            Mean speed of the pool, used as far as nothing else is known.

        Returns
        -------
        float
            Tokens per second.
        """
        if not self._curve:
            return mean_tokens_per_s
        return self._unit_tokens_per_s * self._ratio(runner_id, _level(beside))

    def factor(self, runner_id: str) -> float | None:
        """Return a runner's speed as a ratio to the pool's; None if unknown.

        The number of its streams is allowed for.
        """
        known = self._runners.get(runner_id)
        return known.mean if known is not None else None

    def note(
        self,
        runner_id: str,
        tokens_per_s: float,
        beside: int,
        mean_tokens_per_s: float,
    ) -> None:
        """Record the decode speed of a stream that has ended.

        Parameters
        ----------
        runner_id : str
            The runner.
        tokens_per_s : float
            Speed of the stream.
        beside : int
            Other streams that the runner had meanwhile, on average.
        mean_tokens_per_s : float
            Mean speed of the pool.
        """
        if tokens_per_s <= 0 or mean_tokens_per_s <= 0:
            return
        level = _level(beside)
        self._unit_tokens_per_s = self._unit_tokens_per_s or mean_tokens_per_s
        ratio = tokens_per_s / self._unit_tokens_per_s
        runner = self._runners.setdefault(runner_id, _Factor())
        curve = self._curve.setdefault(level, _Factor())
        corrections = self._corrections.setdefault(runner_id, {})
        correction = corrections.setdefault(level, _Factor())
        expected = curve.mean * runner.mean
        curve.note(ratio / runner.mean)
        runner.note(ratio / (expected / runner.mean))
        correction.note(ratio / expected)

    def keep(self, runner_ids: typing.Container[str]) -> None:
        """Drop the runners that are not among the given ones."""
        for runner_id in list(self._runners):
            if runner_id not in runner_ids:
                self.reset(runner_id)

    def reset(self, runner_id: str) -> None:
        """Drop what is known of a runner that has restarted."""
        self._runners.pop(runner_id, None)
        self._corrections.pop(runner_id, None)

    def _ratio(self, runner_id: str, level: int) -> float:
        curve = self._curve.get(level)
        ratio = curve.mean if curve is not None else self._nearest(level)
        runner = self._runners.get(runner_id)
        if runner is None:
            return ratio
        ratio *= runner.mean
        correction = self._corrections[runner_id].get(level)
        return ratio if correction is None else ratio * correction.mean

    def _nearest(self, level: int) -> float:
        """Return the pool's ratio at the nearest level that is measured."""
        nearest = min(self._curve, key=lambda one: (abs(one - level), one))
        return self._curve[nearest].mean


def _level(beside: int) -> int:
    return bisect.bisect_left(LEVEL_ENDS, beside)
