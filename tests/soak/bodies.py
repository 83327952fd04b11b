"""Large bodies that many callers send at once, and memory that is watched."""

import asyncio
import pathlib

from limpetroute.wire import connection

BODY = b'w' * 4_000_000
AT_ONCE = 20
DEADLINE_S = 4.0
# Memory of an entry host.
MEMORY_MB = 150.0
WATCH_PERIOD_S = 0.01


async def _send(address, request_id):
    """Return the status of one request, 0 without an answer."""
    host, port = address
    link = connection.Connection(host=host, port=port)
    headers = {
        'Host': 'h.example',
        'Request-Id': request_id,
        'Deadline-Ms': f'{DEADLINE_S * 1000:.0f}',
    }
    try:
        failed = await link.send(
            method='POST',
            path='/once/x',
            headers=headers,
            body=BODY,
            timeout_s=DEADLINE_S + 1.0,
        )
        return link.status if failed is None else 0
    finally:
        link.close()


async def flood(address, name, count=AT_ONCE):
    """Send large bodies at once; return the status of each request."""
    names = [f'{name}-{number}' for number in range(count)]
    got = await asyncio.gather(*(_send(address, one) for one in names))
    return dict(zip(names, got, strict=True))


def used_mb(pid):
    """Return the memory that a process has for itself, without files."""
    try:
        text = pathlib.Path(f'/proc/{pid}/status').read_text()
    except OSError:
        return 0.0
    for line in text.splitlines():
        if line.startswith('RssAnon:'):
            return int(line.split()[1]) / 1024
    return 0.0


class MemoryWatch:
    """Notes the most memory that processes have used."""

    def __init__(self, processes):
        self._processes = processes
        self.peak_mb = 0.0

    async def run(self):
        """Watch until it is cancelled."""
        while True:
            for process in self._processes:
                if process.runs:
                    used = used_mb(process.pid)
                    self.peak_mb = max(self.peak_mb, used)
            await asyncio.sleep(WATCH_PERIOD_S)
