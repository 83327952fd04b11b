"""Sets up logging for the program; the library never does."""

import logging
import sys

from pythonjsonlogger import json as json_logger

from limpetroute.telemetry import repeat_filter


def set_up(level: int = logging.INFO) -> None:
    """Write each record as one JSON line to standard output."""
    handler = logging.StreamHandler(sys.stdout)
    handler.setFormatter(
        json_logger.JsonFormatter(
            ['levelname', 'name', 'message', 'exc_info'],
            timestamp='time',
            rename_fields={'levelname': 'level', 'name': 'logger'},
        )
    )
    handler.addFilter(repeat_filter.RepeatFilter(prefix='opentelemetry'))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
