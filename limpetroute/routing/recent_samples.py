"""What was measured of late, with a first guess for what is missing."""

import collections

# Samples that are looked back on, and how many of them the first guess
# stands for: a few first ones may all be of one odd moment.
SAMPLES = 16
GUESS_WEIGHT = 4


class RecentSamples:
    """What was measured of late, with a first guess for what is missing.

    Parameters
    ----------
    guess : float
        Stands for the samples that have not come yet.
    """

    def __init__(self, guess: float) -> None:
        self._samples = collections.deque(
            [guess] * GUESS_WEIGHT, maxlen=SAMPLES
        )
        self._ordered = sorted(self._samples)

    def __repr__(self) -> str:
        return f'{type(self).__name__}(samples={list(self._samples)!r})'

    def note(self, value: float) -> None:
        """Take note of a sample."""
        self._samples.append(value)
        self._ordered = sorted(self._samples)

    def quantile(self, fraction: float) -> float:
        """Return the sample that this part of them does not exceed."""
        count = len(self._ordered)
        return self._ordered[min(count - 1, int(count * fraction))]
