"""Limits retries to a share of first tries."""

RETRY_SHARE = 0.1
MAX_RETRIES = 10.0


class RetryBudget:
    """Allows retries as a share of first tries.

    Without a budget, when all runners of a service fail at once, each
    call is sent three times, and the service receives three times its
    usual load when it recovers. A tenth of the first tries is enough to
    retry single failures and adds at most a tenth to an overload. The
    budget starts with ``MAX_RETRIES``, so that a service with little
    traffic can retry too.
    """

    __slots__ = ('_available',)

    def __init__(self) -> None:
        self._available = MAX_RETRIES

    def __repr__(self) -> str:
        return f'{type(self).__name__}(available={self._available!r})'

    def note_first_try(self) -> None:
        """Add a first try's share of a retry to the budget."""
        self._available = min(MAX_RETRIES, self._available + RETRY_SHARE)

    def take(self) -> bool:
        """Take one retry from the budget; return whether it had one."""
        if self._available < 1.0:
            return False
        self._available -= 1.0
        return True
