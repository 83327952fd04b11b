"""Minimum of the last samples."""

import collections


class WindowMinimum:
    """Estimates a value whose samples are never too small.

    Parameters
    ----------
    prior : float
        Value before the first sample.
    window : int
        Number of samples that the minimum is taken over.
    """

    __slots__ = ('_samples', 'count', 'value')

    def __init__(self, *, prior: float, window: int) -> None:
        self._samples: collections.deque[float] = collections.deque(
            maxlen=window
        )
        self.value = prior
        self.count = 0

    def __repr__(self) -> str:
        return f'{type(self).__name__}(value={self.value!r})'

    def add(self, sample: float) -> None:
        """Add a sample."""
        self.count += 1
        self._samples.append(sample)
        self.value = min(self._samples)
