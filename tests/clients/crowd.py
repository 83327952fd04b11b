"""Many connections that send bytes at once and stay open."""

import asyncio
import contextlib

CONNECTING_AT_ONCE = 50
# One write, so that a connection that is not read holds up no others.
WRITE_BYTES = 1 << 16


class Crowd:
    """Connections to one port that all send the same bytes."""

    def __init__(self, address, payload, count):
        self._address = address
        self._payload = payload
        self._count = count
        self._tasks = []

    async def __aenter__(self):
        gate = asyncio.Semaphore(CONNECTING_AT_ONCE)
        self._tasks = [
            asyncio.create_task(self._press(gate)) for _ in range(self._count)
        ]
        return self

    async def __aexit__(self, *exc):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _press(self, gate):
        """Send all, and keep the connection open until it is closed."""
        with contextlib.suppress(OSError):
            async with gate:
                reader, writer = await asyncio.open_connection(*self._address)
            try:
                await self._send(writer)
                # Answers are not read: what a client does not take counts.
                await asyncio.Event().wait()
            finally:
                writer.transport.abort()

    async def _send(self, writer):
        for start in range(0, len(self._payload), WRITE_BYTES):
            writer.write(self._payload[start : start + WRITE_BYTES])
            await writer.drain()
