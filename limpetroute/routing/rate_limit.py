"""Limits of requests a second that runners name in their answers."""

import math

# More than any runner answers; a limit above it binds nothing.
MAX_LIMIT_PER_S = 1_000_000.0


def read_limit(text: str) -> float | None:
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
