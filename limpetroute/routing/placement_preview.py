"""What the scheduler would decide about a stream now."""

import dataclasses

from limpetroute.routing import placement


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CandidatePreview:
    """A decode runner that a stream may be placed on.

    Parameters
    ----------
    runner_id, zone : str
        The runner.
    streams, slots : int
        Streams that are placed there, and most that it takes.
    free_tokens : int
        Free memory in tokens.
    against : str
        Why the stream cannot be placed there now; empty if it can.
    """

    runner_id: str
    zone: str
    streams: int
    slots: int
    free_tokens: int
    against: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PlacementPreview:
    """What the scheduler would decide about a stream now.

    Parameters
    ----------
    answer : Placement or Rejection or None
        The decision; None if the stream would wait.
    position : int
        Streams that wait and go before it, if it would wait.
    waiting : int
        Streams that wait already.
    start_s : float or None
        Estimated time until it is placed, if it would wait.
    candidates : tuple of CandidatePreview
        The decode runners.
    """

    answer: placement.Placement | placement.Rejection | None
    position: int
    waiting: int
    start_s: float | None
    candidates: tuple[CandidatePreview, ...]
