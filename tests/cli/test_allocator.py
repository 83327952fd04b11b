"""The memory that a process keeps after large blocks are freed."""

import subprocess
import sys

BLOCKS = 6
BLOCK_BYTES = 16 << 20
KEPT_MB = 20
# Frees large blocks below small ones that stay, and prints what is kept.
SCRIPT = f"""
import os
from limpetroute.cli import allocator
from tests.soak import bodies

{{setup}}
block = b'w' * {BLOCK_BYTES}
del block
before_mb = bodies.used_mb(os.getpid())
large = []
small = []
for number in range({BLOCKS}):
    large.append(bytes([number]) * {BLOCK_BYTES})
    small.append(bytes([number]) * 100_000)
del large
print(bodies.used_mb(os.getpid()) - before_mb)
"""


def _kept_mb(setup):
    done = subprocess.run(
        [sys.executable, '-c', SCRIPT.format(setup=setup)],
        check=True,
        capture_output=True,
        text=True,
    )
    return float(done.stdout)


# Guards against processes that keep the memory of large bodies which are
# gone.
def test_freed_large_blocks_are_released():
    assert _kept_mb('assert allocator.release_large_blocks()') < KEPT_MB
