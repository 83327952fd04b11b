"""Logs what a port closes and refuses, a line now and then."""

import asyncio
import collections
import logging

LOG = logging.getLogger(__name__)

# Clients must not be able to fill the log.
INTERVAL_S = 10.0


class PressureLog:
    """Logs what a port closes and refuses, a line now and then.

    Parameters
    ----------
    port : str
        Name of the port.
    """

    def __init__(self, *, port: str) -> None:
        self._port = port
        self._counts: collections.Counter[str] = collections.Counter()
        self._is_waiting = False

    def __repr__(self) -> str:
        return f'{type(self).__name__}(port={self._port!r})'

    def note(self, event: str) -> None:
        """Count an event; log the first one at once, others together."""
        self._counts[event] += 1
        if self._is_waiting:
            return
        self._is_waiting = True
        self._write()
        asyncio.get_running_loop().call_later(INTERVAL_S, self._end_interval)

    def _end_interval(self) -> None:
        self._is_waiting = False
        if self._counts:
            self._is_waiting = True
            self._write()
            asyncio.get_running_loop().call_later(
                INTERVAL_S, self._end_interval
            )

    def _write(self) -> None:
        LOG.warning(
            'clients held too much of this host',
            extra={'port': self._port, 'counts': dict(self._counts)},
        )
        self._counts.clear()
