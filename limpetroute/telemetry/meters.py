"""Interface for the metrics of an entry process."""

import typing


class Meters(typing.Protocol):
    """Records the metrics of an entry process."""

    def first_token(self, seconds: float) -> None:
        """Record the time to first token of a request."""

    def token_gap(self, seconds: float) -> None:
        """Record the mean time between the tokens of an answer."""

    def ended(self, outcome: str, *, good: bool) -> None:
        """Count a finished request; ``good`` if it met its targets."""

    def refused(self, reason: str) -> None:
        """Count a refused request."""

    def retried(self, stage: str) -> None:
        """Count a retry."""

    def wasted_prefill(self, tokens: int) -> None:
        """Count prefilled prompt tokens whose KV cache was discarded."""

    def gone_caller_freed(self, stage: str, seconds: float) -> None:
        """Record how long KV memory stayed in use after the caller left."""


class NullMeters:
    """Records no metrics."""

    def first_token(self, seconds: float) -> None:
        """Record nothing."""

    def token_gap(self, seconds: float) -> None:
        """Record nothing."""

    def ended(self, outcome: str, *, good: bool) -> None:
        """Count nothing."""

    def refused(self, reason: str) -> None:
        """Count nothing."""

    def retried(self, stage: str) -> None:
        """Count nothing."""

    def wasted_prefill(self, tokens: int) -> None:
        """Count nothing."""

    def gone_caller_freed(self, stage: str, seconds: float) -> None:
        """Record nothing."""
