"""An HTTP client on a raw socket that can close it by FIN or RST."""

import asyncio
import json
import re
import socket
import struct
import typing

from tests.entry import fleet as fleet_module

EVENT = re.compile(rb'(?:id: (\S+)\n)?data: (.*)\n\n')


class RawCaller:
    """One connection that sends one request at a time."""

    def __init__(self, port: int, *, receive_bytes: int | None = None) -> None:
        self._port = port
        self._receive_bytes = receive_bytes
        self.got = b''
        self.status = 0
        self.headers: dict[str, str] = {}
        self._started = False

    async def connect(self) -> None:
        self.sock = socket.socket()
        self.sock.setblocking(False)
        if self._receive_bytes is not None:
            self.sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, self._receive_bytes
            )
        loop = asyncio.get_running_loop()
        await loop.sock_connect(self.sock, ('127.0.0.1', self._port))

    async def send(
        self,
        method: str,
        path: str,
        body: typing.Any = None,
        headers: dict[str, str] | None = None,
    ) -> None:
        data = body if isinstance(body, bytes) else b''
        if body is not None and not isinstance(body, bytes):
            data = json.dumps(body).encode()
        lines = [f'{method} {path} HTTP/1.1', 'Host: x']
        lines.append(f'Content-Length: {len(data)}')
        for name, value in (headers or {}).items():
            lines.append(f'{name}: {value}')
        await self.send_raw('\r\n'.join(lines).encode() + b'\r\n\r\n' + data)

    async def send_raw(self, data: bytes) -> None:
        if not hasattr(self, 'sock'):
            await self.connect()
        await asyncio.get_running_loop().sock_sendall(self.sock, data)

    async def _more(self) -> bool:
        loop = asyncio.get_running_loop()
        try:
            data = await loop.sock_recv(self.sock, 65536)
        except ConnectionError:
            return False
        self.got += data
        return bool(data)

    async def read_head(self) -> int:
        """Read status and headers."""
        while b'\r\n\r\n' not in self.got:
            if not await self._more():
                return 0
        head, self.got = self.got.split(b'\r\n\r\n', 1)
        first, *lines = head.decode().split('\r\n')
        self.status = int(first.split()[1])
        self.headers = {
            name.lower(): value
            for name, value in (line.split(': ', 1) for line in lines)
        }
        return self.status

    async def read_body(self) -> bytes:
        """Read a whole body of known length."""
        if not self.headers:
            await self.read_head()
        length = int(self.headers['content-length'])
        while len(self.got) < length:
            if not await self._more():
                break
        body, self.got = self.got[:length], self.got[length:]
        self.headers, headers = {}, self.headers
        self.last_headers = headers
        return body

    async def read_events(
        self, count: int | None = None
    ) -> list[tuple[str | None, typing.Any]]:
        """Read events up to [DONE], an error, the end or ``count``."""
        if not self.headers:
            await self.read_head()
        while True:
            found = events_in(self.got)
            if count is not None and len(found) >= count:
                return found[:count]
            if found and (found[-1][1] == '[DONE]' or is_error(found[-1][1])):
                return found
            if not await self._more():
                return events_in(self.got)

    def fin(self) -> None:
        self.sock.close()

    def rst(self) -> None:
        self.sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )
        self.sock.close()


def is_error(event: typing.Any) -> bool:
    return isinstance(event, dict) and 'error' in event


def events_in(data: bytes) -> list[tuple[str | None, typing.Any]]:
    """Return the complete events of a chunked stream."""
    plain = re.sub(rb'\r\n[0-9a-f]+\r\n', b'', b'\r\n' + data)
    plain = re.sub(rb'\r\n[0-9a-f]*$', b'', plain)
    found = []
    for event_id, body in EVENT.findall(plain):
        text = body.decode()
        value = text if text == '[DONE]' else json.loads(text)
        found.append((event_id.decode() or None, value))
    return found


def text_of(events: list[tuple[str | None, typing.Any]]) -> str:
    """Return the text that the events carry."""
    parts = []
    for _, event in events:
        if event == '[DONE]' or is_error(event):
            continue
        for choice in event['choices']:
            delta = choice.get('delta', {}).get('content', '')
            parts.append(choice.get('text', delta))
    return ''.join(parts)


def ids_of(events: list[tuple[str | None, typing.Any]]) -> list[int]:
    """Return the indexes of the events' ids."""
    return [int(name.rsplit('-', 1)[1]) for name, _ in events if name]


async def ask(
    fleet: fleet_module.Fleet,
    *,
    stream: bool = True,
    headers: dict[str, str] | None = None,
    path: str = '/v1/completions',
    **body: typing.Any,
) -> RawCaller:
    """Send a completion request on a new connection."""
    caller = RawCaller(fleet.port)
    whole = {
        'model': fleet_module.MODEL,
        'prompt': fleet_module.PROMPT,
        'max_tokens': 12,
        'stream': stream,
        **body,
    }
    await caller.send('POST', path, whole, headers)
    return caller


async def fetch(
    fleet: fleet_module.Fleet,
    method: str,
    path: str,
    body: typing.Any = None,
    headers: dict[str, str] | None = None,
) -> tuple[int, dict[str, str], typing.Any]:
    """Make a call and return status, headers and decoded body."""
    caller = RawCaller(fleet.port)
    await caller.send(method, path, body, headers)
    data = await caller.read_body()
    caller.fin()
    decoded = json.loads(data) if data else None
    return caller.status, caller.last_headers, decoded
