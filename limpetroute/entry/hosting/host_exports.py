"""Metrics and spans of one entry host."""

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


def observe(found: exports.Exports, host: 'host_module.Host') -> None:
    """Export the host's gauges, read when metrics are collected."""
    for name, read in GAUGES.items():
        found.observe(name, functools.partial(read, host))


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
