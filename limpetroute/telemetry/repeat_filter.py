"""Suppresses repeated log messages of a library."""

import logging
import time
import typing

QUIET_S = 600.0


class RepeatFilter(logging.Filter):
    """Passes each message of some loggers once per `QUIET_S`.

    An exporter whose collector is unreachable logs an error at every
    interval. The first line reports the change of state; the repeats
    would obscure other lines.

    Parameters
    ----------
    prefix : str
        Prefix of the names of the filtered loggers.
    clock : callable
        Returns a monotonic time in seconds.
    """

    def __init__(
        self,
        *,
        prefix: str,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__()
        self._prefix = prefix
        self._clock = clock
        self._last_passed_s: dict[tuple[str, str], float] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether the record is logged."""
        if not record.name.startswith(self._prefix):
            return True
        # Uses the template because the formatted text may contain numbers
        # that change.
        key = (record.name, str(record.msg)[:80])
        now_s = self._clock()
        last_passed_s = self._last_passed_s.get(key)
        if last_passed_s is not None and now_s - last_passed_s < QUIET_S:
            return False
        self._last_passed_s[key] = now_s
        return True
