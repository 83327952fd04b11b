"""Metrics and spans of one entry host."""

from limpetroute.border import entry_settings
from limpetroute.telemetry import exports


def build(settings: entry_settings.EntrySettings) -> exports.Exports:
    """Make what the settings ask for."""
    wanted = settings.telemetry
    span_exporter = None
    if wanted.spans == 'otlp':
        span_exporter = exports.otlp_spans(wanted.otlp_url)
    return exports.Exports(
        host_id=settings.host_id,
        zone=settings.zone,
        metrics=wanted.metrics,
        otlp_url=wanted.otlp_url,
        export_interval_s=wanted.export_interval_s,
        span_exporter=span_exporter,
        sampled_share=wanted.sampled_share,
    )
