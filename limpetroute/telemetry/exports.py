"""Sets up metrics and tracing for a process."""

import typing

from opentelemetry import metrics
import opentelemetry.sdk.metrics as sdk_metrics
import opentelemetry.sdk.metrics.export as metrics_export
import opentelemetry.sdk.resources as resources
import opentelemetry.sdk.trace as sdk_trace
import opentelemetry.sdk.trace.export as span_export
import opentelemetry.sdk.trace.sampling as sampling
import prometheus_client

from limpetroute.telemetry import hops as hops_module
from limpetroute.telemetry import instruments
from limpetroute.telemetry import meters as meters_module
from limpetroute.telemetry import otel_hops
from limpetroute.telemetry import otel_meters

OTLP_TIMEOUT_S = 3
MILLIS = 1000
# Bounds the shutdown of a process whose collector is unreachable. Spans that
# are not exported by then are lost; requests are not affected.
FLUSH_MILLIS = 2000


class Exports:
    """Metrics and spans of a process, with their exporters.

    Parameters
    ----------
    host_id, zone : str
        Resource attributes of all exported metrics and spans.
    metrics : {'prometheus', 'otlp', 'none'}
        Exporter for metrics.
    otlp_url : str
        Base URL of the OTLP collector.
    export_interval_s : float
        Interval between pushes of metrics over OTLP.
    span_exporter : SpanExporter or None
        Exporter for spans, or None to disable tracing.
    sampled_share : float
        Fraction of the traces started in this process that is sampled.
    """

    __slots__ = (
        '_meter',
        '_meter_provider',
        '_registry',
        '_tracer_provider',
        'hops',
        'meters',
    )

    def __init__(
        self,
        *,
        host_id: str,
        zone: str,
        metrics: str = 'prometheus',
        otlp_url: str = '',
        export_interval_s: float = 10.0,
        span_exporter: span_export.SpanExporter | None = None,
        sampled_share: float = 0.01,
    ) -> None:
        resource = resources.Resource(
            {
                'service.name': 'limpetroute',
                'service.instance.id': host_id,
                'cloud.availability_zone': zone,
            }
        )
        self._registry: prometheus_client.CollectorRegistry | None = None
        self._meter_provider: sdk_metrics.MeterProvider | None = None
        self._tracer_provider: sdk_trace.TracerProvider | None = None
        self.meters: meters_module.Meters = meters_module.NullMeters()
        self.hops: hops_module.Hops = hops_module.NullHops()
        if metrics != 'none':
            reader = self._reader(metrics, otlp_url, export_interval_s)
            self._meter_provider = sdk_metrics.MeterProvider(
                [reader], resource, shutdown_on_exit=False
            )
            self._meter = self._meter_provider.get_meter('limpetroute')
            self.meters = otel_meters.OtelMeters(meter=self._meter)
        if span_exporter is not None:
            self._set_up_tracing(span_exporter, resource, sampled_share)

    def __repr__(self) -> str:
        return f'{type(self).__name__}(meters={self.meters!r})'

    def observe(self, name: str, read: instruments.Gauge) -> None:
        """Export the return value of ``read`` as a gauge."""
        if self._meter_provider is not None:
            instruments.observe(self._meter, name, read)

    @property
    def meter(self) -> metrics.Meter:
        """Creates instruments, which are no-ops if metrics are disabled."""
        if self._meter_provider is None:
            return metrics.NoOpMeter('limpetroute')
        return self._meter

    def text(self) -> bytes | None:
        """Return the metrics in the Prometheus text format.

        None if they are not exported to Prometheus.
        """
        if self._registry is None:
            return None
        return bytes(prometheus_client.generate_latest(self._registry))

    def close(self) -> None:
        """Flush metrics and spans; blocks for a few seconds at most."""
        if self._tracer_provider is not None:
            self._tracer_provider.force_flush(FLUSH_MILLIS)
            self._tracer_provider.shutdown()
        if self._meter_provider is not None:
            self._meter_provider.shutdown(timeout_millis=FLUSH_MILLIS)

    def _reader(
        self, metrics: str, otlp_url: str, export_interval_s: float
    ) -> metrics_export.MetricReader:
        if metrics == 'prometheus':
            # Imported here so that a process loads only the exporter it uses.
            from opentelemetry.exporter import prometheus

            self._registry = prometheus_client.CollectorRegistry()
            prometheus_client.ProcessCollector(registry=self._registry)
            return prometheus.PrometheusMetricReader(registry=self._registry)
        from opentelemetry.exporter.otlp.proto.http import metric_exporter

        return metrics_export.PeriodicExportingMetricReader(
            metric_exporter.OTLPMetricExporter(
                endpoint=f'{otlp_url}/v1/metrics', timeout=OTLP_TIMEOUT_S
            ),
            export_interval_millis=export_interval_s * MILLIS,
        )

    def _set_up_tracing(
        self,
        exporter: span_export.SpanExporter,
        resource: resources.Resource,
        sampled_share: float,
    ) -> None:
        self._tracer_provider = sdk_trace.TracerProvider(
            sampler=sampling.ParentBased(
                sampling.TraceIdRatioBased(sampled_share)
            ),
            resource=resource,
            shutdown_on_exit=False,
        )
        self._tracer_provider.add_span_processor(
            span_export.BatchSpanProcessor(exporter)
        )
        self.hops = otel_hops.OtelHops(
            tracer=self._tracer_provider.get_tracer('limpetroute')
        )


def otlp_spans(otlp_url: str) -> span_export.SpanExporter:
    """Create an exporter that pushes spans to an OTLP collector."""
    from opentelemetry.exporter.otlp.proto.http import trace_exporter

    return typing.cast(
        span_export.SpanExporter,
        trace_exporter.OTLPSpanExporter(
            endpoint=f'{otlp_url}/v1/traces', timeout=OTLP_TIMEOUT_S
        ),
    )
