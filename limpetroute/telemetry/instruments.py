"""Names, units and histogram buckets of the metrics."""

import typing

from opentelemetry import metrics

# Buckets are narrow around the latency targets of 1 s and 31 ms, which
# decide whether a request counts as goodput.
FIRST_TOKEN_BOUNDS_S = (
    0.05,
    0.1,
    0.25,
    0.5,
    0.75,
    0.9,
    1.0,
    1.1,
    1.25,
    1.5,
    2.0,
    3.0,
    5.0,
    10.0,
    30.0,
)
TOKEN_GAP_BOUNDS_S = (
    0.005,
    0.01,
    0.015,
    0.02,
    0.025,
    0.028,
    0.031,
    0.034,
    0.04,
    0.05,
    0.075,
    0.1,
    0.25,
    0.5,
    1.0,
)
LOOP_LAG_BOUNDS_S = (
    0.001,
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
)
# KV memory of a caller that has left should be freed within 2 s.
HELD_BOUNDS_S = (0.01, 0.05, 0.1, 0.25, 0.5, 1.0, 1.5, 2.0, 3.0, 5.0, 10.0)


class Instruments:
    """The instruments that `OtelMeters` records to.

    Parameters
    ----------
    meter : Meter
        Creates the instruments.
    """

    __slots__ = (
        'ended',
        'first_token',
        'goodput',
        'held',
        'refusals',
        'retries',
        'token_gap',
        'wasted_prefill',
    )

    def __init__(self, *, meter: metrics.Meter) -> None:
        self.first_token = meter.create_histogram(
            'limpetroute.first_token',
            unit='s',
            description='Time from arrival to the first token',
            explicit_bucket_boundaries_advisory=FIRST_TOKEN_BOUNDS_S,
        )
        self.token_gap = meter.create_histogram(
            'limpetroute.token_gap',
            unit='s',
            description='Mean time between tokens of one answer',
            explicit_bucket_boundaries_advisory=TOKEN_GAP_BOUNDS_S,
        )
        self.held = meter.create_histogram(
            'limpetroute.gone_caller_kv_held',
            unit='s',
            description='Time KV memory stayed held for a gone caller',
            explicit_bucket_boundaries_advisory=HELD_BOUNDS_S,
        )
        self.ended = meter.create_counter(
            'limpetroute.requests', description='Ended requests by outcome'
        )
        self.goodput = meter.create_counter(
            'limpetroute.goodput_requests',
            description='Completed requests that met both latency targets',
        )
        self.refusals = meter.create_counter(
            'limpetroute.refusals', description='Requests turned away'
        )
        self.retries = meter.create_counter(
            'limpetroute.retries', description='Second tries by stage'
        )
        self.wasted_prefill = meter.create_counter(
            'limpetroute.wasted_prefill_tokens',
            description='Prompt tokens whose result was thrown away',
        )

    def __repr__(self) -> str:
        return f'{type(self).__name__}()'


Gauge = typing.Callable[[], float]


def observe(meter: metrics.Meter, name: str, read: Gauge) -> None:
    """Create a gauge whose value is read when metrics are collected."""

    def callback(
        options: metrics.CallbackOptions,
    ) -> typing.Iterable[metrics.Observation]:
        yield metrics.Observation(read())

    meter.create_observable_gauge(f'limpetroute.{name}', [callback])


def loop_lag(meter: metrics.Meter) -> metrics.Histogram:
    """Create the histogram of event loop lag."""
    return meter.create_histogram(
        'limpetroute.loop_lag',
        unit='s',
        description='How late the event loop runs what is due',
        explicit_bucket_boundaries_advisory=LOOP_LAG_BOUNDS_S,
    )
