"""A runner that answers each request as the test says."""

import asyncio
import dataclasses


@dataclasses.dataclass
class Seen:
    head: str
    body: bytes = b''
    closed: bool = False

    @property
    def target(self):
        return self.head.split(' ', 2)[1]

    def header(self, name):
        for line in self.head.split('\r\n')[1:]:
            key, _, value = line.partition(':')
            if key.lower() == name.lower():
                return value.strip()
        return None


def response(body=b'done', status=200, stamp='s.1', **headers):
    fields = {'Runner-Stamp': stamp, 'Content-Length': str(len(body))}
    fields.update({k.replace('_', '-'): v for k, v in headers.items()})
    lines = [f'HTTP/1.1 {status} X']
    lines += [f'{k}: {v}' for k, v in fields.items() if v is not None]
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


def event(number, text='t'):
    return f'id: {number}\ndata: {text}\n\n'.encode()


def chunk(data):
    return f'{len(data):x}\r\n'.encode() + data + b'\r\n'


STREAM_HEAD = (
    b'HTTP/1.1 200 OK\r\nRunner-Stamp: s.1\r\n'
    b'Content-Type: text/event-stream\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n'
)
LAST_CHUNK = b'0\r\n\r\n'


class ScriptedRunner:
    """Calls ``script(seen, writer)`` for each request."""

    def __init__(self, script):
        self.script = script
        self.seen = []
        # Connections that are closed before a request is read.
        self.close_first = 0

    async def start(self):
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def stop(self):
        self._server.close()

    async def _serve(self, reader, writer):
        if self.close_first:
            self.close_first -= 1
            writer.close()
            return
        try:
            head = (await reader.readuntil(b'\r\n\r\n')).decode()
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()
            return
        seen = Seen(head.rstrip('\r\n'))
        self.seen.append(seen)
        length = int(seen.header('Content-Length') or 0)
        watch = None
        try:
            if length and not getattr(self, 'skips_body', False):
                seen.body = await reader.readexactly(length)
            watch = asyncio.create_task(self._watch(reader, seen))
            await self.script(seen, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            seen.closed = True
        finally:
            if watch is not None and not getattr(self, 'lingers', False):
                watch.cancel()
            writer.close()

    async def _watch(self, reader, seen):
        await reader.read()
        seen.closed = True


def answers(data):
    async def script(seen, writer):
        writer.write(data)
        await writer.drain()

    return script
