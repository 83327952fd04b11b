"""What may be repeated."""

import enum


class RouteKind(enum.StrEnum):
    """What a route's requests are, which says what may be repeated.

    ``ONCE`` requests run at most once for each attempt of a caller;
    ``STREAM`` requests too, unless their route lets them resume.
    """

    IDEMPOTENT = 'idempotent'
    ONCE = 'once'
    STREAM = 'stream'
