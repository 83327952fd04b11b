"""A recorded trace: events with the outcomes stated for them."""

import dataclasses
import typing


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TraceEvent:
    """One line of a trace.

    Parameters
    ----------
    line : int
        Line in the file, from 1.
    at_s : float
        Time on the trace's clock; never goes back.
    part : str
        Kind of part that acts, for instance ``router``.
    name : str
        Which part of that kind, where there are several.
    verb : str
        What it does.
    args : dict
        What it is given.
    stated : bool
        Whether an outcome is stated.
    expected : object
        The outcome.
    """

    line: int
    at_s: float
    part: str
    name: str
    verb: str
    args: dict[str, typing.Any]
    stated: bool
    expected: typing.Any


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Trace:
    """A whole trace and its story."""

    story: str
    events: tuple[TraceEvent, ...]
