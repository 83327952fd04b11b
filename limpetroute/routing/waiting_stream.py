"""A stream that waits for its place."""

import dataclasses

from limpetroute.routing import stream_ask
from limpetroute.routing import stream_times

# A stream waits no longer than this for a place, counted from its
# caller's send: callers leave 3.6 s after it without a first event.
LONGEST_WAIT_S = 2.4


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class WaitingStream:
    """A stream that waits for its place.

    Parameters
    ----------
    ask : StreamAsk
        What it asked for.
    sent_s : float
        When its caller sent it, or got its last event.
    first_sent_s : float
        When its caller sent it for the first time.
    """

    ask: stream_ask.StreamAsk
    sent_s: float
    first_sent_s: float

    @property
    def target_s(self) -> float:
        """When its first event is due."""
        return self.first_sent_s + self.ask.target_s

    @property
    def longest_s(self) -> float:
        """How long after `sent_s` a place is still worth giving."""
        if self.ask.goes_on:
            return stream_times.LONGEST_PAUSE_S
        return LONGEST_WAIT_S

    def in_time(self, at_s: float, needed_s: float) -> bool:
        """Return whether a place given then makes its target.

        ``needed_s`` is the time from a place to the first event.
        """
        return at_s + needed_s <= self.target_s
