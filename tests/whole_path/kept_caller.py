"""A caller that sends its requests on one kept connection."""

import asyncio
import contextlib
import dataclasses

from tests.soak import promises

PIECES = 4
ANSWER_S = 10.0


@dataclasses.dataclass(frozen=True)
class Outcome:
    """How one request ended; ``status`` is 0 if nothing came back."""

    path: str
    status: int
    body: bytes
    whole: bool

    @property
    def events(self):
        return promises.events(self.body)


class KeptCaller:
    """Sends requests one after the other; a closed connection is replaced.

    ``pause_s`` is the time between two pieces of a request's body.
    """

    def __init__(self, address, name, pause_s=0.0):
        self.outcomes = []
        # Requests on a connection that had served one before.
        self.reused = 0
        self._address = address
        self._name = name
        self._pause_s = pause_s
        self._link = None

    async def ask_while(self, busy, paths):
        number = 0
        while not busy.done():
            path = paths[number % len(paths)]
            number += 1
            self.outcomes.append(await self.ask(path, number))
        self.close()

    async def ask(self, path, number):
        """Send one request; raise OSError if no connection is accepted."""
        if self._link is None:
            self._link = await asyncio.open_connection(*self._address)
        else:
            self.reused += 1
        status, body, whole, keeps = 0, b'', False, False
        with contextlib.suppress(
            ConnectionError, asyncio.IncompleteReadError, TimeoutError
        ):
            await self._send(path, number)
            async with asyncio.timeout(ANSWER_S):
                status, fields = await self._read_head()
                keeps = fields.get('connection') != 'close'
                async for piece in self._read_body(fields):
                    body += piece
                whole = True
        if not (whole and keeps):
            self.close()
        return Outcome(path, status, body, whole)

    async def _send(self, path, number):
        writer = self._link[1]
        usage = 'Token-Usage: 100,120\r\n' if 'stream' in path else ''
        writer.write(
            f'POST {path} HTTP/1.1\r\nHost: h.example\r\n'
            f'Request-Id: {self._name}-{number}\r\nDeadline-Ms: 9000\r\n'
            f'Content-Length: {PIECES}\r\n{usage}\r\n'.encode()
        )
        for _ in range(PIECES):
            writer.write(b'x')
            await writer.drain()
            await asyncio.sleep(self._pause_s)

    async def _read_head(self):
        head = (await self._link[0].readuntil(b'\r\n\r\n')).decode().lower()
        first, *lines = head.rstrip().split('\r\n')
        fields = dict(line.split(': ', 1) for line in lines)
        return int(first.split(' ')[1]), fields

    async def _read_body(self, fields):
        reader = self._link[0]
        if 'content-length' in fields:
            yield await reader.readexactly(int(fields['content-length']))
            return
        size = -1
        while size:
            size = int(await reader.readuntil(b'\r\n'), 16)
            yield (await reader.readexactly(size + 2))[:-2]

    def close(self):
        """Close its connection."""
        if self._link is not None:
            self._link[1].close()
            self._link = None
