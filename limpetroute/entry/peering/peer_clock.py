"""The clock that measures leases."""

import time

__all__ = ['clock_s']


def clock_s() -> float:
    """Return the seconds of a clock that counts time in suspend.

    The ordinary monotonic clock stops while the machine is suspended,
    and the other hosts' clocks do not. A machine that resumes would
    take its expired leases for valid.
    """
    if hasattr(time, 'CLOCK_BOOTTIME'):
        return time.clock_gettime(time.CLOCK_BOOTTIME)
    return time.monotonic()
