"""One bound of the goal size against what was worked out."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Row:
    """A resource at goal size.

    Parameters
    ----------
    what : str
        Role and resource.
    worked_out, bound : float
        Both in ``unit``; ``bound`` is the most allowed.
    unit : str
        Unit of both.
    terms : str
        What was added up.
    """

    what: str
    worked_out: float
    bound: float
    unit: str
    terms: str

    @property
    def ratio(self) -> float:
        """Worked out over bound; above 1 it does not fit."""
        return self.worked_out / self.bound

    @property
    def fits(self) -> bool:
        """Whether the bound holds."""
        return self.ratio <= 1.0
