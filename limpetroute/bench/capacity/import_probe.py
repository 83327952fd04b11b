"""Resident memory by import, in the order a daemon imports."""

import importlib

from limpetroute.bench.capacity import figure
from limpetroute.bench.capacity import memory

STEPS = (
    'tornado.web',
    'pydantic',
    'opentelemetry.sdk.metrics',
    'opentelemetry.exporter.prometheus',
    'limpetroute.entry.server',
    'limpetroute.control.server',
)


class ImportProbe:
    """Measures what each import adds; run it first in the process."""

    def measure(self) -> list[figure.Figure]:
        """Import step by step."""
        found = [self._figure('start', memory.resident_bytes())]
        for name in STEPS:
            importlib.import_module(name)
            found.append(self._figure(name, memory.resident_bytes()))
        return found

    def _figure(self, name: str, size: int) -> figure.Figure:
        return figure.Figure(
            name=f'memory.after.{name}',
            value=size / 1e6,
            unit='MB',
            how='resident memory after the import',
        )
