"""Compares two results over the same shapes and seeds."""

import dataclasses
import math
import statistics
import typing

# Two-sided, at 95 in 100, for enough seeds.
NORMAL_QUANTILE = 1.96


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Comparison:
    """The change of a shape's worth.

    Parameters
    ----------
    shape : str
        The shape.
    seeds : int
        Number of pairs.
    before, after : float
        Medians.
    change : float
        Mean change of a pair.
    half_width : float
        Half of the interval that holds the true mean in 95 of 100 cases.
    """

    shape: str
    seeds: int
    before: float
    after: float
    change: float
    half_width: float


def compare(
    before: typing.Sequence[typing.Mapping[str, typing.Any]],
    after: typing.Sequence[typing.Mapping[str, typing.Any]],
) -> list[Comparison]:
    """Return the change of each shape that both results have."""
    pairs: dict[str, list[tuple[float, float]]] = {}
    known = {(row['shape'], row['seed']): row['worth'] for row in before}
    for row in after:
        old = known.get((row['shape'], row['seed']))
        if old is not None:
            pairs.setdefault(row['shape'], []).append((old, row['worth']))
    return [_comparison(shape, found) for shape, found in pairs.items()]


def _comparison(
    shape: str, pairs: typing.Sequence[tuple[float, float]]
) -> Comparison:
    changes = [new - old for old, new in pairs]
    spread = statistics.stdev(changes) if len(changes) > 1 else 0.0
    return Comparison(
        shape=shape,
        seeds=len(pairs),
        before=statistics.median(old for old, _ in pairs),
        after=statistics.median(new for _, new in pairs),
        change=statistics.fmean(changes),
        half_width=NORMAL_QUANTILE * spread / math.sqrt(len(changes)),
    )
