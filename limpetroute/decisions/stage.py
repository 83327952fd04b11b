"""Where a request is, and how it ended there."""

import enum


class Stage(enum.StrEnum):
    """Part of the path a request is in."""

    QUEUED = 'queued'
    PREFILL = 'prefill'
    TRANSFER = 'transfer'
    DECODE = 'decode'


class Ending(enum.StrEnum):
    """How a request left the router."""

    COMPLETED = 'completed'
    CANCELLED = 'cancelled'
    FAILED = 'failed'
