"""The clock that leases are measured with."""

import time

__all__ = ['clock_s']


def clock_s() -> float:
    """Return seconds that also pass while the machine is suspended.

    A machine that was suspended and wakes would otherwise take its old
    leases for valid: the ordinary monotonic clock stood still, the
    other hosts' clocks did not.
    """
    if hasattr(time, 'CLOCK_BOOTTIME'):
        return time.clock_gettime(time.CLOCK_BOOTTIME)
    return time.monotonic()
