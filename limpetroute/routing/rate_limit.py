"""Limits of requests a second that runners name in their answers."""

import math

# More than any runner answers; a limit above it binds nothing.
MAX_LIMIT_PER_S = 1_000_000.0
# Unused requests of this long may be sent together.
BURST_S = 0.5
# A runner that takes nothing is still asked this often: it names its limit
# in answers alone, and would otherwise never be heard to take it back.
MIN_PROBE_RATE_PER_S = 0.2


def parse_limit(text: str) -> float | None:
    """Return the limit that a runner wrote, or None if it is none.

    Parameters
    ----------
    text : str
        Requests a second, as a decimal number of 0 or more.
    """
    try:
        limit_per_s = float(text)
    except ValueError:
        return None
    if not math.isfinite(limit_per_s) or limit_per_s < 0.0:
        return None
    return min(limit_per_s, MAX_LIMIT_PER_S)


class TokenBucket:
    """Requests that may be sent at a rate.

    Parameters
    ----------
    rate_per_s : float
        Requests a second in the long run.
    now_s : float
        A steady clock.
    """

    def __init__(self, *, rate_per_s: float, now_s: float) -> None:
        self._rate_per_s = rate_per_s
        self._tokens = 0.0
        self._at_s = now_s

    def __repr__(self) -> str:
        return f'{type(self).__name__}(rate_per_s={self._rate_per_s!r})'

    @property
    def rate_per_s(self) -> float:
        """Requests a second in the long run."""
        return self._rate_per_s

    def set_rate(self, rate_per_s: float, now_s: float) -> None:
        """Go on at another rate with what is left."""
        self._fill(now_s)
        self._rate_per_s = rate_per_s
        self._tokens = min(self._tokens, self._most)

    def has_token(self, now_s: float) -> bool:
        """Return whether a request may be sent now."""
        self._fill(now_s)
        return self._tokens >= 1.0

    def take(self, now_s: float) -> None:
        """Count a request, also one that was not asked for."""
        self._fill(now_s)
        self._tokens -= 1.0

    def wait_s(self, now_s: float) -> float:
        """Return when the next request may be sent."""
        self._fill(now_s)
        return max(0.0, 1.0 - self._tokens) / self._rate_per_s

    @property
    def _most(self) -> float:
        return max(1.0, self._rate_per_s * BURST_S)

    def _fill(self, now_s: float) -> None:
        spent_s = max(0.0, now_s - self._at_s)
        self._at_s = now_s
        self._tokens += spent_s * self._rate_per_s
        self._tokens = min(self._tokens, self._most)
