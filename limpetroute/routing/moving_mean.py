"""A moving mean with an initial guess."""

# Weight of the newest value; the last sixty streams, which arrive within a few
# seconds, make up most of the mean.
MIN_WEIGHT = 1 / 32
# Number of values that the initial guess counts for: the first few callers are
# not representative, and a stage change that is undone costs its time twice.
GUESS_WEIGHT = 16


class MovingMean:
    """A moving mean with an initial guess.

    The first values all have the same weight. Later ones gradually replace
    earlier ones and the initial guess.

    Parameters
    ----------
    initial : float
        The initial guess.
    """

    def __init__(self, initial: float) -> None:
        self._mean = initial
        self._count = GUESS_WEIGHT

    def __repr__(self) -> str:
        return f'{type(self).__name__}(mean={self._mean!r})'

    @property
    def mean(self) -> float:
        """The current mean."""
        return self._mean

    def note(self, value: float) -> None:
        """Add a value."""
        self._count += 1
        weight = max(MIN_WEIGHT, 1 / self._count)
        self._mean += (value - self._mean) * weight
