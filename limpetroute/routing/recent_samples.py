"""Quantiles of recent samples, with an initial guess."""

import collections

# Number of samples kept, and number of them that the initial guess counts for:
# the first few samples may all be taken under unusual conditions.
SAMPLES = 16
GUESS_WEIGHT = 4


class RecentSamples:
    """Quantiles of recent samples, with an initial guess.

    Parameters
    ----------
    guess : float
        Used in place of samples that are still missing.
    """

    def __init__(self, guess: float) -> None:
        self._samples = collections.deque(
            [guess] * GUESS_WEIGHT, maxlen=SAMPLES
        )
        self._ordered = sorted(self._samples)

    def __repr__(self) -> str:
        return f'{type(self).__name__}(samples={list(self._samples)!r})'

    def note(self, value: float) -> None:
        """Add a sample."""
        self._samples.append(value)
        self._ordered = sorted(self._samples)

    def quantile(self, fraction: float) -> float:
        """Return the value that a fraction of the samples does not exceed."""
        count = len(self._ordered)
        return self._ordered[min(count - 1, int(count * fraction))]
