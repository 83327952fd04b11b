"""Works out what the measured slopes mean at goal size."""

import dataclasses
import typing

from limpetroute.bench.capacity import figure
from limpetroute.bench.capacity import goal as goal_module


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Row:
    """One bound of the letter against what was worked out.

    Parameters
    ----------
    what : str
        Role and resource.
    worked_out, bound : float
        Both in ``unit``; ``bound`` is the most allowed.
    unit : str
        Unit of both.
    mechanism : str
        What carries it, or what must change first.
    """

    what: str
    worked_out: float
    bound: float
    unit: str
    mechanism: str

    @property
    def ratio(self) -> float:
        """Worked out over bound; above 1 it does not fit."""
        return self.worked_out / self.bound

    @property
    def fits(self) -> bool:
        """Whether the bound holds."""
        return self.ratio <= 1.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Term:
    """One contribution to a bound: so many times a second, each so much."""

    name: str
    per_s: float
    each: float

    @property
    def value(self) -> float:
        """Contribution a second."""
        return self.per_s * self.each


def total(terms: typing.Sequence[Term]) -> float:
    """Add the contributions."""
    return sum(term.value for term in terms)


def by_name(
    figures: typing.Sequence[figure.Figure],
) -> dict[str, float]:
    """Return the values by name.

    Raises
    ------
    ValueError
        If a name stands twice.
    """
    values: dict[str, float] = {}
    for item in figures:
        if item.name in values:
            raise ValueError(f'measured twice: {item.name!r}')
        values[item.name] = item.value
    return values


def goal() -> goal_module.Goal:
    """Return the goal size."""
    return goal_module.Goal()
