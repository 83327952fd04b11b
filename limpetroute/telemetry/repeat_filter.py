"""Keeps a library from writing the same line again and again."""

import logging
import time
import typing

QUIET_S = 600.0


class RepeatFilter(logging.Filter):
    """Lets each message of some loggers through once in a while.

    An exporter whose collector is away logs at every interval; the
    first line is the change of state, the others bury what matters.

    Parameters
    ----------
    prefix : str
        Loggers whose name begins with it.
    clock : callable
        Returns seconds.
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
        self._passed_s: dict[tuple[str, str], float] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        """Say whether the record is written."""
        if not record.name.startswith(self._prefix):
            return True
        # The template, not the text: that may hold a changing number.
        key = (record.name, str(record.msg)[:80])
        now_s = self._clock()
        passed_s = self._passed_s.get(key)
        if passed_s is not None and now_s - passed_s < QUIET_S:
            return False
        self._passed_s[key] = now_s
        return True
