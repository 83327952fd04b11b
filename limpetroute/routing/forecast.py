"""What was expected of a stream when it was placed."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Forecast:
    """What was expected of a stream when it was placed.

    Parameters
    ----------
    queued_s : float
        How long it waited for its placement.
    first_event_s : float
        Time from its caller's request, or last event, to the next event.
    in_time : bool
        Whether that meets its target.
    beside : int
        Streams that its decode runner had.
    pause_s : float
        How long these pause while the runner reads its prompt.
    read_tokens_per_s : float
        How fast its prompt is read.
    """

    queued_s: float
    first_event_s: float
    in_time: bool
    beside: int
    pause_s: float
    read_tokens_per_s: float
