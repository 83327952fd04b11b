"""The scheduler's forecast for a stream at the time of its placement."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Forecast:
    """The scheduler's forecast for a stream at the time of its placement.

    Parameters
    ----------
    queued_s : float
        Time that the stream waited for its placement.
    first_event_s : float
        Expected time from the caller's request, or its last event, to the next
        event.
    in_time : bool
        Whether `first_event_s` meets the stream's target.
    beside : int
        Number of other streams on its decode runner.
    pause_s : float
        Longest gap between events that its prefill causes for these streams.
    read_tokens_per_s : float
        Expected prefill speed in tokens per second.
    """

    queued_s: float
    first_event_s: float
    in_time: bool
    beside: int
    pause_s: float
    read_tokens_per_s: float
