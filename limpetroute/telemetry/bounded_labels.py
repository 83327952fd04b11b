"""Label values of a metric whose number is bounded."""

OTHER = 'other'


class BoundedLabels:
    """Label values of a metric whose number is bounded.

    Each label value makes a time series of its own. The values that come
    first get one each; all others share one.

    Parameters
    ----------
    limit : int
        Most values with a series of their own.
    """

    __slots__ = ('_known', '_limit')

    def __init__(self, *, limit: int) -> None:
        self._limit = limit
        self._known: set[str] = set()

    def __repr__(self) -> str:
        return f'{type(self).__name__}(known={len(self._known)!r})'

    def get(self, value: str) -> str:
        """Return the label for a value."""
        if value in self._known:
            return value
        if len(self._known) >= self._limit:
            return OTHER
        self._known.add(value)
        return value
