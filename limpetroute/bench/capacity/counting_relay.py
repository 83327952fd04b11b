"""A TCP relay that counts the bytes it copies."""

import asyncio

READ_BYTES = 65536


class CountingRelay:
    """Stands between two processes and counts what they say.

    Parameters
    ----------
    port : int
        Port on loopback to which it copies.
    """

    __slots__ = ('_port', '_server', 'from_server', 'to_server')

    def __init__(self, *, port: int) -> None:
        self._port = port
        self._server: asyncio.Server | None = None
        self.to_server = 0
        self.from_server = 0

    def __repr__(self) -> str:
        return f'{type(self).__name__}(port={self._port!r})'

    @property
    def total(self) -> int:
        """Bytes copied both ways, without the headers of TCP and IP."""
        return self.to_server + self.from_server

    async def start(self) -> int:
        """Listen and return the port."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        return int(self._server.sockets[0].getsockname()[1])

    def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        far_reader, far_writer = await asyncio.open_connection(
            '127.0.0.1', self._port
        )
        await asyncio.gather(
            self._copy(reader, far_writer, towards=True),
            self._copy(far_reader, writer, towards=False),
        )

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        towards: bool,
    ) -> None:
        try:
            while data := await reader.read(READ_BYTES):
                if towards:
                    self.to_server += len(data)
                else:
                    self.from_server += len(data)
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            pass
        writer.close()
