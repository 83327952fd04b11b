"""The mean of what came of late."""

# Of the mean, this part is from the newest one; some sixty streams, a few
# seconds of them, make up most of it.
MIN_WEIGHT = 1 / 32
# The first guess counts for as much as this many: a few first callers
# say little, and a change of stage that is taken back costs twice its time.
GUESS_WEIGHT = 16


class MovingMean:
    """The mean of what came of late.

    Each of the first ones counts as much as the others; later the newest
    ones push earlier ones, and the first guess, out.

    Parameters
    ----------
    first : float
        The first guess.
    """

    def __init__(self, initial: float) -> None:
        self._mean = initial
        self._count = GUESS_WEIGHT

    def __repr__(self) -> str:
        return f'{type(self).__name__}(mean={self._mean!r})'

    @property
    def mean(self) -> float:
        """The mean."""
        return self._mean

    def note(self, value: float) -> None:
        """Take note of what came."""
        self._count += 1
        weight = max(MIN_WEIGHT, 1 / self._count)
        self._mean += (value - self._mean) * weight
