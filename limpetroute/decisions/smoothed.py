"""Exponentially smoothed value and its deviation."""


class Smoothed:
    """Estimates a slowly changing value from noisy samples.

    Parameters
    ----------
    prior : float
        Value before the first sample.
    weight : float
        Weight of each new sample, between 0 and 1.
    """

    __slots__ = ('_weight', 'count', 'deviation', 'value')

    def __init__(self, *, prior: float, weight: float) -> None:
        self._weight = weight
        self.value = prior
        self.deviation = 0.0
        self.count = 0

    def __repr__(self) -> str:
        return f'{type(self).__name__}(value={self.value!r})'

    def add(self, sample: float) -> None:
        """Add a sample; the first few have a higher weight."""
        self.count += 1
        weight = max(self._weight, 1 / self.count)
        error = sample - self.value
        self.value += weight * error
        self.deviation += weight * (abs(error) - self.deviation)
        if self.count == 1:
            self.deviation = 0.0
