"""Token bucket that limits a rate."""


class TokenBucket:
    """Token bucket that limits a rate.

    Taking more tokens than are left leaves a debt, which is refilled
    before tokens are available again.

    Parameters
    ----------
    rate_per_s : float
        Tokens refilled per second.
    burst : float
        Most tokens that the bucket holds.
    now_s : float
        Time of a monotonic clock.
    tokens : float
        Tokens at the start.
    """

    __slots__ = ('_burst', '_filled_s', '_rate_per_s', '_tokens')

    def __init__(
        self,
        *,
        rate_per_s: float,
        burst: float,
        now_s: float,
        tokens: float = 0.0,
    ) -> None:
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._tokens = min(tokens, burst)
        self._filled_s = now_s

    def __repr__(self) -> str:
        return (
            f'{type(self).__name__}(rate_per_s={self._rate_per_s!r}, '
            f'burst={self._burst!r})'
        )

    @property
    def rate_per_s(self) -> float:
        """Tokens refilled per second."""
        return self._rate_per_s

    @property
    def burst(self) -> float:
        """Most tokens that the bucket holds."""
        return self._burst

    def set_limits(
        self, *, rate_per_s: float, burst: float, now_s: float
    ) -> None:
        """Change the rate and the size; tokens above the size are lost."""
        self._fill(now_s)
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._tokens = min(self._tokens, burst)

    def level(self, now_s: float) -> float:
        """Return the tokens that are left; negative for a debt."""
        self._fill(now_s)
        return self._tokens

    def take(self, tokens: float, now_s: float) -> None:
        """Take tokens, even if fewer are left."""
        self._fill(now_s)
        self._tokens -= tokens

    def put_back(self, tokens: float, now_s: float) -> None:
        """Return tokens that were taken in vain."""
        self._fill(now_s)
        self._tokens = min(self._tokens + tokens, self._burst)

    def wait_s(self, tokens: float, now_s: float) -> float:
        """Return the time until the bucket holds so many tokens.

        More tokens than the bucket can hold count as a full bucket.
        """
        missing = min(tokens, self._burst) - self.level(now_s)
        if missing <= 0.0:
            return 0.0
        return missing / self._rate_per_s

    def _fill(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._filled_s)
        self._filled_s = max(now_s, self._filled_s)
        self._tokens = min(
            self._tokens + elapsed_s * self._rate_per_s, self._burst
        )
