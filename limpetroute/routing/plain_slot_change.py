"""Changes of state in the slots of a plain service."""

import enum


class PlainSlotChange(enum.Enum):
    """Changes of state in the slots of a plain service.

    ``RUNNER_GONE`` is a runner that left or restarted. ``EJECTED`` runners
    failed a request, and ``ANSWERS_AGAIN`` ends a row of failures. Slots
    that are ``EXPIRED`` were not returned. In a ``SHORTAGE``, requests wait.
    """

    RUNNER_GONE = enum.auto()
    EJECTED = enum.auto()
    ANSWERS_AGAIN = enum.auto()
    LIMIT_LOWERED = enum.auto()
    EXPIRED = enum.auto()
    HOST_RESTARTED = enum.auto()
    SHORTAGE = enum.auto()
    SHORTAGE_OVER = enum.auto()
