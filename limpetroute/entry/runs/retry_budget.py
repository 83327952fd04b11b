"""How many second tries the calls of a pool may have."""

SHARE = 0.1
MOST = 10.0


class RetryBudget:
    """Allows second tries as a share of fresh calls.

    Pattern of load: every runner of a service fails at once. Without a
    budget each call is sent three times and the service, coming back,
    meets three times its load. A tenth of fresh traffic heals single
    failures and adds at most that to an overload; ``MOST`` lets a quiet
    service retry at all.
    """

    __slots__ = ('_left',)

    def __init__(self) -> None:
        self._left = MOST

    def __repr__(self) -> str:
        return f'{type(self).__name__}(left={self._left!r})'

    def note_first_try(self) -> None:
        """Note a first try."""
        self._left = min(MOST, self._left + SHARE)

    def take(self) -> bool:
        """Take one second try; return whether there was one left."""
        if self._left < 1.0:
            return False
        self._left -= 1.0
        return True
