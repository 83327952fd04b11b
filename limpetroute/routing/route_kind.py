"""Kinds of routes."""

import enum


class RouteKind(enum.StrEnum):
    """Kind of a route's requests, which decides whether they are retried.

    ``IDEMPOTENT`` requests may run several times. ``ONCE`` requests run at
    most once for each attempt of a caller, and so do ``STREAM`` requests
    unless their route is resumable.
    """

    IDEMPOTENT = 'idempotent'
    ONCE = 'once'
    STREAM = 'stream'
