"""One measured number."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Figure:
    """A slope or a size, as measured.

    Parameters
    ----------
    name : str
        Dotted name, such as ``entry.cpu_per_token_us``.
    value : float
        The number.
    unit : str
        Its unit.
    how : str
        What was run, in a few words.
    """

    name: str
    value: float
    unit: str
    how: str
