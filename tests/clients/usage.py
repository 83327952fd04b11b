"""Memory and descriptors of processes, as the machine counts them."""

import asyncio
import ipaddress
import pathlib
import struct

from tests.soak import bodies

PERIOD_S = 0.02
# Columns of /proc/net/tcp.
LOCAL, QUEUES = 1, 4


def unread_mb(host):
    """Return the bytes that have arrived for an address, and are unread."""
    packed = ipaddress.IPv4Address(host).packed
    prefix = f'{struct.unpack("=I", packed)[0]:08X}:'
    total = 0
    for line in pathlib.Path('/proc/net/tcp').read_text().splitlines()[1:]:
        columns = line.split()
        # The queue of a listening socket counts connections.
        if columns[LOCAL].startswith(prefix) and columns[3] != '0A':
            total += int(columns[QUEUES].partition(':')[2], 16)
    return total / (1 << 20)


def descriptors(pid):
    """Return the number of descriptors that a process has open."""
    try:
        return len(list(pathlib.Path(f'/proc/{pid}/fd').iterdir()))
    except OSError:
        return 0


class Watch:
    """Notes the most that one process uses."""

    def __init__(self, pid, host):
        self._pid = pid
        self._host = host
        self.idle_mb = bodies.used_mb(pid)
        self.peak_mb = 0.0
        self.peak_unread_mb = 0.0
        self.peak_descriptors = 0

    def __repr__(self):
        return (
            f'Watch(idle_mb={self.idle_mb:.0f}, peak_mb={self.peak_mb:.0f}, '
            f'peak_unread_mb={self.peak_unread_mb:.0f}, '
            f'peak_descriptors={self.peak_descriptors})'
        )

    async def __aenter__(self):
        self._task = asyncio.create_task(self._run())
        return self

    async def __aexit__(self, *exc):
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self):
        while True:
            unread_mb_now = await asyncio.to_thread(unread_mb, self._host)
            used_mb = bodies.used_mb(self._pid) + unread_mb_now
            self.peak_mb = max(self.peak_mb, used_mb)
            self.peak_unread_mb = max(self.peak_unread_mb, unread_mb_now)
            self.peak_descriptors = max(
                self.peak_descriptors, descriptors(self._pid)
            )
            await asyncio.sleep(PERIOD_S)
