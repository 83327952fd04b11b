"""Counters of what ports close and refuse to protect the process."""

from opentelemetry import metrics


class PortMeters:
    """Counters of what ports close and refuse to protect the process.

    Parameters
    ----------
    meter : Meter
        Makes the instruments.
    """

    def __init__(self, *, meter: metrics.Meter) -> None:
        self._closed = meter.create_counter(
            'limpetroute_port_closed',
            description='Connections closed to free resources, by reason.',
        )
        self._refused = meter.create_counter(
            'limpetroute_port_refused',
            description='Requests refused before they were read, by status.',
        )

    def __repr__(self) -> str:
        return f'{type(self).__name__}()'

    def closed(self, port: str, reason: str) -> None:
        """Count a connection that was closed to protect the process."""
        self._closed.add(1, {'port': port, 'reason': reason})

    def refused(self, port: str, status: int) -> None:
        """Count a request that was refused before it was read."""
        self._refused.add(1, {'port': port, 'status': status})
