"""Rate limits that runners announce in their responses."""

import math

# More than any runner can answer, so a higher limit has no effect.
MAX_LIMIT_PER_S = 1_000_000.0
# Requests left unused for this long may be sent in a burst.
BURST_S = 0.5
# A runner with a lower limit, such as 0, still gets requests at this rate.
# It announces its limit only in responses, so without any request the
# router would not learn that the limit has been lifted.
MIN_PROBE_RATE_PER_S = 0.2


def parse_limit(text: str) -> float | None:
    """Return the limit in a runner's response, or None if it is invalid.

    Parameters
    ----------
    text : str
        Requests per second, as a decimal number that is not negative.
    """
    try:
        limit_per_s = float(text)
    except ValueError:
        return None
    if not math.isfinite(limit_per_s) or limit_per_s < 0.0:
        return None
    return min(limit_per_s, MAX_LIMIT_PER_S)


class TokenBucket:
    """Token bucket that limits the rate of requests.

    Parameters
    ----------
    rate_per_s : float
        Average number of requests per second.
    now_s : float
        Time of a monotonic clock.
    """

    def __init__(self, *, rate_per_s: float, now_s: float) -> None:
        self._rate_per_s = rate_per_s
        self._tokens = 0.0
        self._filled_s = now_s

    def __repr__(self) -> str:
        return f'{type(self).__name__}(rate_per_s={self._rate_per_s!r})'

    @property
    def rate_per_s(self) -> float:
        """Average number of requests per second."""
        return self._rate_per_s

    def set_rate(self, rate_per_s: float, now_s: float) -> None:
        """Change the rate and keep the remaining tokens."""
        self._fill(now_s)
        self._rate_per_s = rate_per_s
        self._tokens = min(self._tokens, self._max_tokens)

    def has_token(self, now_s: float) -> bool:
        """Return whether a request may be sent now."""
        self._fill(now_s)
        return self._tokens >= 1.0

    def take(self, now_s: float) -> None:
        """Take a token for a request, even if none is left."""
        self._fill(now_s)
        self._tokens -= 1.0

    def wait_s(self, now_s: float) -> float:
        """Return the time until the next request may be sent."""
        self._fill(now_s)
        return max(0.0, 1.0 - self._tokens) / self._rate_per_s

    @property
    def _max_tokens(self) -> float:
        return max(1.0, self._rate_per_s * BURST_S)

    def _fill(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._filled_s)
        self._filled_s = now_s
        self._tokens += elapsed_s * self._rate_per_s
        self._tokens = min(self._tokens, self._max_tokens)
