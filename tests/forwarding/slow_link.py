"""Emulates a network link of limited bandwidth on 127.0.0.1."""

import asyncio
import contextlib
import urllib.parse

from limpetroute.wire import caller

PIECE_BYTES = 4096


class SlowLink:
    """Proxies connections to any target over one shared incoming link.

    Bytes that were in transit when a caller disconnected still occupy the
    link, as on a real network. If ``break_interval_s`` is set, a
    connection is broken once per interval.
    """

    def __init__(self, bytes_per_s):
        self.bytes_per_s = bytes_per_s
        self.bytes_in = 0
        self.broken_connections = 0
        self.break_interval_s = None
        self._next_break_s = 0.0
        self.connections = 0
        self._busy_until_s = 0.0
        self._servers = {}
        self._tasks = set()

    async def port_to(self, host, port):
        """Return the local port that forwards to an address."""
        if (host, port) not in self._servers:

            async def serve(reader, writer):
                self.connections += 1
                await self._serve(reader, writer, host, port)

            server = await asyncio.start_server(serve, '127.0.0.1', 0)
            self._servers[host, port] = server
        return self._servers[host, port].sockets[0].getsockname()[1]

    def close(self):
        for server in self._servers.values():
            server.close()
        for task in self._tasks:
            task.cancel()

    async def _serve(self, reader, writer, host, port):
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, port, limit=2 * PIECE_BYTES
            )
            upload = asyncio.create_task(_copy(reader, target_writer))
            try:
                await self._copy_limited(target_reader, writer)
            finally:
                upload.cancel()
                target_writer.close()
                writer.close()
        except (OSError, asyncio.CancelledError):
            # The test has ended, or one side has disconnected.
            writer.close()
        finally:
            self._tasks.discard(task)

    async def _copy_limited(self, reader, writer):
        loop = asyncio.get_running_loop()
        while piece := await reader.read(PIECE_BYTES):
            if self.break_interval_s and loop.time() > self._next_break_s:
                self._next_break_s = loop.time() + self.break_interval_s
                self.broken_connections += 1
                return
            self.bytes_in += len(piece)
            took_s = len(piece) / self.bytes_per_s
            self._busy_until_s = max(self._busy_until_s, loop.time()) + took_s
            await asyncio.sleep(self._busy_until_s - loop.time())
            writer.write(piece)
            await writer.drain()


class LinkedCaller(caller.Caller):
    """Makes all calls through a link."""

    def __init__(self, link):
        super().__init__(unzips=True)
        self._link = link

    async def open(self, *, url, **kwargs):
        parts = urllib.parse.urlsplit(url)
        port = await self._link.port_to(parts.hostname, parts.port)
        link_url = parts._replace(netloc=f'127.0.0.1:{port}').geturl()
        return await super().open(url=link_url, **kwargs)


async def _copy(reader, writer):
    with contextlib.suppress(OSError):
        while piece := await reader.read(PIECE_BYTES):
            writer.write(piece)
            await writer.drain()
