"""A recorded trace: events and their expected outcomes."""

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
        Time on the trace's clock in seconds; never decreases.
    part : str
        Kind of component that the event drives, such as ``router``.
    name : str
        Name of the component, where a trace has several of a kind.
    verb : str
        Operation of the component.
    args : dict
        Arguments of the operation.
    stated : bool
        Whether the trace expects an outcome.
    expected : object
        Expected outcome, None if there is none.
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
    """A whole trace and its description."""

    story: str
    events: tuple[TraceEvent, ...]
