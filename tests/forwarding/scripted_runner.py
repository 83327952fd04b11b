"""A runner whose responses are defined by a test."""

import asyncio
import dataclasses


@dataclasses.dataclass
class ReceivedRequest:
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
    """Calls ``script(request, writer)`` for each request."""

    def __init__(self, script):
        self.script = script
        self.requests = []
        # Number of next connections to close before reading a request.
        self.connections_to_close = 0

    async def start(self):
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def stop(self):
        self._server.close()

    async def _serve(self, reader, writer):
        if self.connections_to_close:
            self.connections_to_close -= 1
            writer.close()
            return
        try:
            head = (await reader.readuntil(b'\r\n\r\n')).decode()
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()
            return
        request = ReceivedRequest(head.rstrip('\r\n'))
        self.requests.append(request)
        length = int(request.header('Content-Length') or 0)
        closing_task = None
        try:
            if length and not getattr(self, 'skips_body', False):
                request.body = await reader.readexactly(length)
            closing_task = asyncio.create_task(
                self._note_closing(reader, request)
            )
            await self.script(request, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            request.closed = True
        finally:
            if closing_task is not None and not getattr(
                self, 'lingers', False
            ):
                closing_task.cancel()
            writer.close()

    async def _note_closing(self, reader, request):
        await reader.read()
        request.closed = True


def answers(data):
    async def script(request, writer):
        writer.write(data)
        await writer.drain()

    return script
