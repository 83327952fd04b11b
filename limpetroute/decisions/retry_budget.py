"""Limits retries to a share of new requests.

Load pattern: a runner or a pool fails, and all its requests are retried
at once. Without a budget the retries multiply the load of a failing
pool by the number of attempts, and it does not recover. `RETRY_SHARE`
covers a failure of one runner in ten at any time; `MAX_TOKENS` lets the
twenty requests of a failed decode runner be retried at once.
"""

RETRY_SHARE = 0.1
MAX_TOKENS = 30.0
MAX_ATTEMPTS = 4


class RetryBudget:
    """Token bucket that new requests fill and retries drain."""

    __slots__ = ('_tokens',)

    def __init__(self) -> None:
        self._tokens = MAX_TOKENS

    @property
    def tokens(self) -> float:
        """Retries allowed now; never negative."""
        return self._tokens

    def earn(self) -> None:
        """Add the share of one new request."""
        self._tokens = min(MAX_TOKENS, self._tokens + RETRY_SHARE)

    def spend(self, attempts: int) -> bool:
        """Take a token for a retry; return whether it is allowed."""
        if attempts >= MAX_ATTEMPTS or self._tokens < 1:
            return False
        self._tokens -= 1
        return True
