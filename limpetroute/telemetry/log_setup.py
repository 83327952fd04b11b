"""Configures logging; only the command line calls this."""

import atexit
import logging
import sys
import typing

from pythonjsonlogger import json as json_logger

from limpetroute.telemetry import bounded_handler
from limpetroute.telemetry import repeat_filter


class _Formatter(json_logger.JsonFormatter):
    """Formats each record as one line of JSON, without empty fields."""

    def process_log_record(
        self, log_data: dict[str, object]
    ) -> dict[str, object]:
        if log_data.get('exc_info') is None:
            log_data.pop('exc_info', None)
        return log_data


def set_up(
    level: int = logging.INFO, stream: typing.TextIO | None = None
) -> None:
    """Configure the root logger to write one line of JSON per record.

    Lines go to standard output by default. A command whose standard
    output is meant for people passes another stream.
    """
    handler = bounded_handler.BoundedHandler(stream=stream or sys.stdout)
    handler.setFormatter(
        _Formatter(
            ['levelname', 'name', 'message', 'exc_info'],
            timestamp='time',
            rename_fields={'levelname': 'level', 'name': 'logger'},
        )
    )
    handler.addFilter(repeat_filter.RepeatFilter(prefix='opentelemetry'))
    root = logging.getLogger()
    for old in root.handlers[:]:
        root.removeHandler(old)
        old.close()
    root.addHandler(handler)
    root.setLevel(level)
    atexit.register(handler.close)
