"""A clock that also runs while the host is suspended."""

import time


def now_s() -> float:
    """Return seconds since the host started, suspension included.

    The event loop's clock stands still while a host is suspended. A
    leader that slept through its lease would wake up, find the lease
    still valid by that clock, and answer with a state that the leader
    elected meanwhile has replaced. This clock has moved on, so the
    lease is seen to be over.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
