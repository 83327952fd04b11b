"""A bare tornado handler that copies an engine's events: the baseline."""

import asyncio
import json

import tornado.httpclient
import tornado.httpserver
import tornado.netutil
import tornado.simple_httpclient
import tornado.web

MAX_CLIENTS = 10_000


class BareHandler(tornado.web.RequestHandler):
    """Copies each chunk as it comes, and checks nothing."""

    def initialize(
        self,
        engine_url: str,
        client: tornado.simple_httpclient.SimpleAsyncHTTPClient,
    ) -> None:
        """Take the engine and the client."""
        self._engine_url = engine_url
        self._client = client

    async def post(self) -> None:
        """Forward one run."""
        await self._client.fetch(
            tornado.httpclient.HTTPRequest(
                f'{self._engine_url}/v1/runs',
                method='POST',
                body=self.request.body,
                streaming_callback=self._copy,
                request_timeout=600.0,
            )
        )

    def _copy(self, chunk: bytes) -> None:
        self.write(chunk)
        asyncio.ensure_future(self.flush())


class BareForwarder:
    """Serves `BareHandler` on a free port.

    Parameters
    ----------
    engine_url : str
        The engine whose events it copies.
    """

    def __init__(self, *, engine_url: str) -> None:
        client = tornado.simple_httpclient.SimpleAsyncHTTPClient(
            force_instance=True, max_clients=MAX_CLIENTS
        )
        given = {'engine_url': engine_url, 'client': client}
        self._server = tornado.httpserver.HTTPServer(
            tornado.web.Application(
                [('/', BareHandler, given)], log_function=lambda _: None
            )
        )
        sockets = tornado.netutil.bind_sockets(0, '127.0.0.1')
        self._server.add_sockets(sockets)
        self.port = int(sockets[0].getsockname()[1])

    def __repr__(self) -> str:
        return f'{type(self).__name__}(port={self.port!r})'


async def read(port: int, run_id: str, words: int) -> int:
    """Read one run through the forwarder; return its events."""
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    body = json.dumps({'run_id': run_id, 'max_tokens': words}).encode()
    writer.write(
        b'POST / HTTP/1.1\r\nHost: bench\r\nConnection: close\r\n'
        b'Content-Length: %d\r\n\r\n' % len(body) + body
    )
    events = 0
    while line := await reader.readline():
        if line.startswith(b'{"i"'):
            events += 1
    writer.close()
    return events
