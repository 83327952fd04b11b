"""Limits retries to a share of fresh traffic.

Load pattern: a runner dies or a pool fails, and every request on it
wants to run again at once. Without a budget the retries of a failing
pool multiply its load by the number of attempts, and it stays down.
A tenth of fresh traffic covers one runner in ten failing at any time;
`RESERVE` lets the twenty requests of one dead decode runner go at once
at today's size.
"""

RETRY_SHARE = 0.1
MAX_TOKENS = 30.0
MAX_ATTEMPTS = 4


class RetryBudget:
    """Tokens that fresh requests earn and retries spend."""

    __slots__ = ('_tokens',)

    def __init__(self) -> None:
        self._tokens = MAX_TOKENS

    @property
    def tokens(self) -> float:
        """Retries allowed now; never negative."""
        return self._tokens

    def earn(self) -> None:
        """Count one fresh request."""
        self._tokens = min(MAX_TOKENS, self._tokens + RETRY_SHARE)

    def spend(self, attempts: int) -> bool:
        """Take a retry, or refuse it."""
        if attempts >= MAX_ATTEMPTS or self._tokens < 1:
            return False
        self._tokens -= 1
        return True
