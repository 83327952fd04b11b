"""Rate limits that runners announce in their responses."""

import math

from limpetroute.routing import token_bucket

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


def make_bucket(limit_per_s: float, now_s: float) -> token_bucket.TokenBucket:
    """Return an empty bucket of requests for a runner's limit."""
    return token_bucket.TokenBucket(
        rate_per_s=limit_per_s, burst=_burst(limit_per_s), now_s=now_s
    )


def set_limit(
    bucket: token_bucket.TokenBucket, limit_per_s: float, now_s: float
) -> None:
    """Change the limit of a runner's bucket and keep its tokens."""
    bucket.set_limits(
        rate_per_s=limit_per_s, burst=_burst(limit_per_s), now_s=now_s
    )


def _burst(limit_per_s: float) -> float:
    return max(1.0, limit_per_s * BURST_S)
