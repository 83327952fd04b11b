"""How many streams come, and when."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StreamLoad:
    """Streams that come.

    Parameters
    ----------
    streams_per_s : tuple of (float, float)
        From when on how many come a second.
    until_s : float
        When the last one comes.
    """

    streams_per_s: tuple[tuple[float, float], ...]
    until_s: float

    def rate(self, now_s: float) -> float:
        """Return how many come a second at a moment."""
        found = 0.0
        for since_s, rate in self.streams_per_s:
            if now_s >= since_s:
                found = rate
        return found
