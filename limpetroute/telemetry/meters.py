"""Counters and histograms of the entry process."""

import typing


class Meters(typing.Protocol):
    """What the entry process counts."""

    def first_token(self, seconds: float) -> None:
        """Record a time to first token."""

    def token_gap(self, seconds: float) -> None:
        """Record a mean time between tokens of one answer."""

    def ended(self, outcome: str, *, good: bool) -> None:
        """Count an ended request; ``good`` if it met its targets."""

    def refused(self, reason: str) -> None:
        """Count a request turned away."""

    def retried(self, stage: str) -> None:
        """Count a second try."""

    def wasted_prefill(self, tokens: int) -> None:
        """Count prompt tokens whose result was thrown away."""

    def gone_caller_freed(self, stage: str, seconds: float) -> None:
        """Record how long KV memory was held for a gone caller."""


class NullMeters:
    """Counts nothing."""

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
