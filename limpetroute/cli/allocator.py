"""Settings of the C library's memory allocator."""

import ctypes

# Options of glibc's mallopt().
M_TRIM_THRESHOLD = -1
M_MMAP_THRESHOLD = -3
# Blocks of at least this size get memory of their own.
LARGE_BLOCK_BYTES = 1 << 20
# Free memory at the end of the heap that is kept for later blocks.
MAX_FREE_BYTES = 4 << 20


def release_large_blocks() -> bool:
    """Have the memory of large blocks released as soon as they are freed.

    By default, glibc takes blocks of up to 32 MB from the heap once one of
    their size has been freed. The heap shrinks only at its end, so a few large
    bodies that are freed could leave gaps of several times their size.

    Returns
    -------
    bool
        Whether the allocator has these options.
    """
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (AttributeError, OSError):
        return False
    return bool(
        mallopt(M_MMAP_THRESHOLD, LARGE_BLOCK_BYTES)
        and mallopt(M_TRIM_THRESHOLD, MAX_FREE_BYTES)
    )
