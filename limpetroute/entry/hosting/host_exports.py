"""Exports the metrics and spans of one entry host."""

import functools
import typing

from limpetroute.border import entry_settings
from limpetroute.telemetry import exports

if typing.TYPE_CHECKING:
    from limpetroute.entry.hosting import host as host_module

GAUGES: dict[str, typing.Callable[[typing.Any], float]] = {
    'ready': lambda host: host.ready,
    'runners': lambda host: len(host.runners),
    'records': lambda host: len(host.records),
    'requests_in_progress': lambda host: host.in_progress,
    'manifest_number': lambda host: (
        host.manifest.number if host.manifest else 0
    ),
}


def observe(target: exports.Exports, host: 'host_module.Host') -> None:
    """Register the host's gauges, read whenever metrics are collected."""
    for name, read in GAUGES.items():
        target.observe(name, functools.partial(read, host))


def build(settings: entry_settings.EntrySettings) -> exports.Exports:
    """Create the metric and span exports that the settings select."""
    telemetry = settings.telemetry
    span_exporter = None
    if telemetry.spans == 'otlp':
        span_exporter = exports.otlp_spans(telemetry.otlp_url)
    return exports.Exports(
        host_id=settings.host_id,
        zone=settings.zone,
        metrics=telemetry.metrics,
        otlp_url=telemetry.otlp_url,
        export_interval_s=telemetry.export_interval_s,
        span_exporter=span_exporter,
        sampled_share=telemetry.sampled_share,
    )
