"""A clock that also runs while the host is suspended."""

import time


def now_s() -> float:
    """Return the seconds since the host booted, including suspension.

    The event loop's clock stops while the host is suspended. By that
    clock, a leader whose lease expired during a suspension would still
    find it valid on resume, and would serve a state that a newly elected
    leader has replaced. By this clock, the lease has expired.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
