"""A stream that waits for its placement."""

import dataclasses

from limpetroute.routing import placement
from limpetroute.routing import stream_times


@dataclasses.dataclass(kw_only=True, slots=True)
class WaitingStream:
    """A stream that waits for its placement.

    Parameters
    ----------
    ask : PlacementRequest
        What it asked for.
    sent_s : float
        When its caller sent it, or got its last event.
    first_sent_s : float
        When its caller sent it for the first time.
    tokens : int
        Tokens that a runner reads before it writes.
    is_known : bool
        Whether it was looked at before.
    fits_nowhere : bool
        Whether no decode runner had room for it. It is offered only to
        runners that a stream has left since.
    counts_ahead : bool
        Whether those behind it wait for its turn too.
    """

    request: placement.PlacementRequest
    sent_s: float
    first_sent_s: float
    tokens: int
    is_examined: bool = False
    fits_nowhere: bool = False
    counts_in_queue: bool = True

    @property
    def request_id(self) -> str:
        """Names the stream."""
        return self.request.request_id

    @property
    def due_s(self) -> float:
        """When its first event is due."""
        return self.first_sent_s + self.request.target_s

    @property
    def max_wait_s(self) -> float:
        """How long after `sent_s` a place is still worth giving."""
        return stream_times.max_wait_s(self.request)

    def meets_targets(self, first_event_s: float) -> bool:
        """Return whether it meets its targets with a first event then.

        The pause before a resumed stream's next event has missed them.
        """
        return not self.request.goes_on and first_event_s <= self.due_s

    def can_meet_target(self, at_s: float, needed_s: float) -> bool:
        """Return whether a place given then makes its target.

        ``needed_s`` is the time from a place to the first event.
        """
        return at_s + needed_s <= self.due_s
