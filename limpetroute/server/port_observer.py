"""What ports report to metrics."""

import typing


class PortObserver(typing.Protocol):
    """Counts what ports close and refuse to protect the process."""

    def closed(self, port: str, reason: str) -> None:
        """Count a connection that was closed."""

    def refused(self, port: str, status: int) -> None:
        """Count a request that was refused before it was read."""


class RelayedObserver:
    """Reports to an observer that is made after the ports."""

    def __init__(self) -> None:
        self._observer: PortObserver | None = None

    def __repr__(self) -> str:
        return f'{type(self).__name__}(observer={self._observer!r})'

    def report_to(self, observer: PortObserver) -> None:
        """Report to this observer from now on."""
        self._observer = observer

    def closed(self, port: str, reason: str) -> None:
        """Count a connection that was closed."""
        if self._observer is not None:
            self._observer.closed(port, reason)

    def refused(self, port: str, status: int) -> None:
        """Count a request that was refused before it was read."""
        if self._observer is not None:
            self._observer.refused(port, status)
