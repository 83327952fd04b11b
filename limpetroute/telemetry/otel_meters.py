"""Metrics recorded with OpenTelemetry."""

from opentelemetry import metrics

from limpetroute.telemetry import instruments


class OtelMeters:
    """Records metrics with OpenTelemetry instruments.

    Each label has few possible values, so that the number of time series
    does not grow with the number of callers, teams or requests.

    Parameters
    ----------
    meter : Meter
        Creates the instruments.
    """

    __slots__ = ('_instruments',)

    def __init__(self, *, meter: metrics.Meter) -> None:
        self._instruments = instruments.Instruments(meter=meter)

    def __repr__(self) -> str:
        return f'{type(self).__name__}()'

    def first_token(self, seconds: float) -> None:
        """Record the time to first token of a request."""
        self._instruments.first_token.record(seconds)

    def token_gap(self, seconds: float) -> None:
        """Record the mean time between the tokens of an answer."""
        self._instruments.token_gap.record(seconds)

    def ended(self, outcome: str, *, good: bool) -> None:
        """Count a finished request; ``good`` if it met its targets."""
        self._instruments.ended.add(1, {'outcome': outcome})
        if good:
            self._instruments.goodput.add(1)

    def refused(self, reason: str) -> None:
        """Count a refused request."""
        self._instruments.refusals.add(1, {'reason': reason})

    def retried(self, stage: str) -> None:
        """Count a retry."""
        self._instruments.retries.add(1, {'stage': stage})

    def wasted_prefill(self, tokens: int) -> None:
        """Count prefilled prompt tokens whose KV cache was discarded."""
        self._instruments.wasted_prefill.add(tokens)

    def gone_caller_freed(self, stage: str, seconds: float) -> None:
        """Record how long KV memory stayed in use after the caller left."""
        self._instruments.held.record(seconds, {'stage': stage})
