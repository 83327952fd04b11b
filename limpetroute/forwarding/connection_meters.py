"""Counts connections of one kind that may be kept."""

from opentelemetry import metrics

from limpetroute.wire import drop_reason


class ConnectionMeters:
    """Counts connections of one kind that may be kept.

    Parameters
    ----------
    counter : Counter
        Counts, by server, event and reason.
    server : str
        Label of the servers at the other end.
    """

    def __init__(self, *, counter: metrics.Counter, server: str) -> None:
        self._counter = counter
        self._server = server

    def __repr__(self) -> str:
        return f'{type(self).__name__}(server={self._server!r})'

    def opened(self) -> None:
        """Count a new connection that may be kept."""
        self._add('opened', '')

    def reused(self) -> None:
        """Count a request on a kept connection."""
        self._add('reused', '')

    def dropped(self, reason: drop_reason.DropReason) -> None:
        """Count a connection that was closed."""
        self._add('dropped', reason.value)

    def _add(self, event: str, reason: str) -> None:
        self._counter.add(
            1, {'server': self._server, 'event': event, 'reason': reason}
        )
