"""Stages of a request and the ways in which it ends."""

import enum


class Stage(enum.StrEnum):
    """Stage that a request is in."""

    QUEUED = 'queued'
    PREFILL = 'prefill'
    TRANSFER = 'transfer'
    DECODE = 'decode'


class Ending(enum.StrEnum):
    """Outcome of a request."""

    COMPLETED = 'completed'
    CANCELLED = 'cancelled'
    FAILED = 'failed'
