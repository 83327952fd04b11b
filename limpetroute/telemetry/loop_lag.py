"""Measures the lag of an event loop."""

import asyncio
import logging
import math
import typing

LOG = logging.getLogger(__name__)

PERIOD_S = 0.05
# Minimum interval between log lines; the histogram records every value.
LOG_INTERVAL_S = 1.0


class LoopLag:
    """Measures how late an event loop runs its scheduled callbacks.

    A process that blocks its event loop answers no heartbeats, which
    other hosts cannot distinguish from a network partition.

    Parameters
    ----------
    log_from_s : float
        Minimum lag, in seconds, that is logged.
    """

    def __init__(self, *, log_from_s: float) -> None:
        self._log_from_s = log_from_s
        self._logged_s = -math.inf
        self._record: typing.Callable[[float], None] | None = None
        self._task: asyncio.Task[None] | None = None

    def __repr__(self) -> str:
        return f'{type(self).__name__}(log_from_s={self._log_from_s!r})'

    def record_to(self, record: typing.Callable[[float], None]) -> None:
        """Set a callback that receives each measured lag, in seconds."""
        self._record = record

    def start(self) -> None:
        """Start measuring the running event loop."""
        self._task = asyncio.create_task(self._run())

    def stop(self) -> None:
        """Stop measuring."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due_s = loop.time() + PERIOD_S
            await asyncio.sleep(PERIOD_S)
            self._note(max(0.0, loop.time() - due_s), loop.time())

    def _note(self, lag_s: float, now_s: float) -> None:
        if self._record is not None:
            self._record(lag_s)
        if lag_s < self._log_from_s:
            return
        if now_s - self._logged_s < LOG_INTERVAL_S:
            return
        self._logged_s = now_s
        LOG.warning(
            'event loop is late', extra={'lag_ms': round(lag_s * 1000)}
        )
