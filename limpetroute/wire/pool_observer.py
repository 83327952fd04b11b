"""Counts what happens to the connections of a pool."""

import typing

from limpetroute.wire import drop_reason


class PoolObserver(typing.Protocol):
    """Counts what happens to the connections of a pool."""

    def opened(self) -> None:
        """Count a new connection that may be kept."""

    def reused(self) -> None:
        """Count a request on a kept connection."""

    def dropped(self, reason: drop_reason.DropReason) -> None:
        """Count a connection that was closed."""
