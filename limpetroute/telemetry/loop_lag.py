"""Measures how late an event loop runs what is due."""

import asyncio
import logging
import math
import typing

LOG = logging.getLogger(__name__)

PERIOD_S = 0.05
# Log lines come at most this often; the histogram has every value.
LOG_INTERVAL_S = 1.0


class LoopLag:
    """Measures how late an event loop runs what is due.

    A process that decides too much at a time answers no heartbeat
    meanwhile, and from outside looks like one that is cut off.

    Parameters
    ----------
    log_from_s : float
        Lag from which a log line is written.
    """

    def __init__(self, *, log_from_s: float) -> None:
        self._log_from_s = log_from_s
        self._logged_s = -math.inf
        self._record: typing.Callable[[float], None] | None = None
        self._task: asyncio.Task[None] | None = None

    def __repr__(self) -> str:
        return f'{type(self).__name__}(log_from_s={self._log_from_s!r})'

    def record_to(self, record: typing.Callable[[float], None]) -> None:
        """Have each lag, in seconds, recorded too."""
        self._record = record

    def start(self) -> None:
        """Begin to measure the running event loop."""
        self._task = asyncio.create_task(self._run())

    def stop(self) -> None:
        """End."""
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
            'the event loop is late', extra={'lag_ms': round(lag_s * 1000)}
        )
