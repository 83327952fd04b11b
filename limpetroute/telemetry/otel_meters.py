"""Meters by OpenTelemetry."""

from opentelemetry import metrics

from limpetroute.telemetry import instruments


class OtelMeters:
    """Counts with OpenTelemetry instruments.

    Every label has few values, so that the number of series does not
    grow with callers, teams or requests.

    Parameters
    ----------
    meter : Meter
        Makes the instruments.
    """

    __slots__ = ('_instruments',)

    def __init__(self, *, meter: metrics.Meter) -> None:
        self._instruments = instruments.Instruments(meter=meter)

    def __repr__(self) -> str:
        return f'{type(self).__name__}()'

    def first_token(self, seconds: float) -> None:
        """Record a time to first token."""
        self._instruments.first_token.record(seconds)

    def token_gap(self, seconds: float) -> None:
        """Record a mean time between tokens of one answer."""
        self._instruments.token_gap.record(seconds)

    def ended(self, outcome: str, *, good: bool) -> None:
        """Count an ended request; ``good`` if it met its targets."""
        self._instruments.ended.add(1, {'outcome': outcome})
        if good:
            self._instruments.goodput.add(1)

    def refused(self, reason: str) -> None:
        """Count a request turned away."""
        self._instruments.refusals.add(1, {'reason': reason})

    def retried(self, stage: str) -> None:
        """Count a second try."""
        self._instruments.retries.add(1, {'stage': stage})

    def wasted_prefill(self, tokens: int) -> None:
        """Count prompt tokens whose result was thrown away."""
        self._instruments.wasted_prefill.add(tokens)

    def gone_caller_freed(self, stage: str, seconds: float) -> None:
        """Record how long KV memory was held for a gone caller."""
        self._instruments.held.record(seconds, {'stage': stage})
