"""A stream that waits for its placement."""

import dataclasses

from limpetroute.routing import placement
from limpetroute.routing import stream_times


@dataclasses.dataclass(kw_only=True, slots=True)
class WaitingStream:
    """A stream that waits for its placement.

    Parameters
    ----------
    request : PlacementRequest
        Its request.
    sent_s : float
        When the caller sent the request or received its last event.
    first_sent_s : float
        When the caller sent this prompt for the first time.
    tokens : int
        Number of tokens to prefill.
    is_examined : bool
        Whether the stream was checked before.
    fits_nowhere : bool
        Whether no decode runner had free capacity at the last check. Until the
        next full pass, the stream is offered only to runners where another
        stream has ended.
    counts_in_queue : bool
        Whether streams behind this one have to wait for its placement.
    keeps_runner : bool or None
        Whether a runner is kept free for the stream while it fits nowhere;
        None until that is checked after a full pass.
    """

    request: placement.PlacementRequest
    sent_s: float
    first_sent_s: float
    tokens: int
    is_examined: bool = False
    fits_nowhere: bool = False
    counts_in_queue: bool = True
    keeps_runner: bool | None = None

    @property
    def request_id(self) -> str:
        """Identifies the stream."""
        return self.request.request_id

    @property
    def due_s(self) -> float:
        """When the first event must come to meet the target."""
        return self.first_sent_s + self.request.target_s

    @property
    def max_wait_s(self) -> float:
        """Longest time after `sent_s` at which a placement is still useful."""
        return stream_times.max_wait_s(self.request)

    def meets_targets(self, first_event_s: float) -> bool:
        """Return whether a first event at a time meets the stream's targets.

        A resumed stream has already missed them through the gap before its
        next event.
        """
        return not self.request.goes_on and first_event_s <= self.due_s

    def can_meet_target(self, at_s: float, needed_s: float) -> bool:
        """Return whether a placement at a time can meet the target.

        ``needed_s`` is the time from the placement to the first event.
        """
        return at_s + needed_s <= self.due_s
