"""The least of the last samples."""

import collections


class WindowMinimum:
    """Follows a value of which samples only ever show too much.

    Parameters
    ----------
    prior : float
        Value believed before the first sample.
    window : int
        Samples looked back on.
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
        """Take a sample."""
        self.count += 1
        self._samples.append(sample)
        self.value = min(self._samples)
