"""A proxy in front of a runner that can stop forwarding data."""

import asyncio


class SilentProxy:
    """Forwards bytes until `silence`, which keeps connections open.

    Connections made after `silence` work. This simulates a network
    device that has lost the state of older connections.
    """

    def __init__(self, target_port: int) -> None:
        self._target_port = target_port
        self._tasks: set[asyncio.Task[None]] = set()
        self._copying = asyncio.Event()
        self._copying.set()
        self.connections = 0

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def silence(self) -> None:
        """Stop forwarding on all connections that are open now."""
        self._copying.clear()
        self._copying = asyncio.Event()
        self._copying.set()

    async def stop(self) -> None:
        self._server.close()
        for task in self._tasks:
            task.cancel()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        copying = self._copying
        other_reader, other_writer = await asyncio.open_connection(
            '127.0.0.1', self._target_port
        )
        for source, sink in (
            (reader, other_writer),
            (other_reader, writer),
        ):
            task = asyncio.create_task(self._copy(source, sink, copying))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _copy(
        self,
        source: asyncio.StreamReader,
        sink: asyncio.StreamWriter,
        copying: asyncio.Event,
    ) -> None:
        try:
            while data := await source.read(65536):
                await copying.wait()
                sink.write(data)
                await sink.drain()
        except ConnectionError:
            return
        finally:
            sink.close()
