"""Memory of this process."""

import gc
import os
import pathlib
import typing

STATM = pathlib.Path('/proc/self/statm')
RESIDENT_FIELD = 1


def resident_bytes() -> int:
    """Return the resident memory of this process."""
    pages = int(STATM.read_text().split()[RESIDENT_FIELD])
    return pages * os.sysconf('SC_PAGE_SIZE')


def bytes_each(
    make: typing.Callable[[int], typing.Any], count: int
) -> tuple[float, list[typing.Any]]:
    """Return the resident growth for each of ``count`` things made.

    The things are returned too, so that they live until the caller
    has read the figure.
    """
    gc.collect()
    before = resident_bytes()
    kept = [make(number) for number in range(count)]
    gc.collect()
    return (resident_bytes() - before) / count, kept
