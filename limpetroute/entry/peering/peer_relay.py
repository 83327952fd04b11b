"""Relays a caller's request to the entry host that holds its record."""

import typing

import tornado.iostream
import tornado.web

from limpetroute.wire import call_failed
from limpetroute.wire import caller

PREFIX = '/v1/peers/relay'
TEAM_HEADER = 'Limpetroute-Relayed-Team'
FORWARDED_HEADERS = ('Last-Event-ID', 'Idempotency-Key', 'Content-Type')
DROPPED_HEADERS = frozenset(
    {'connection', 'content-length', 'date', 'server', 'transfer-encoding'}
)


class PeerRelay:
    """Streams an answer from the host that holds a record to the caller.

    Only the holder decides which connection receives the answer: it
    fences older attachments on all hosts.

    Parameters
    ----------
    http : Caller
        Makes the calls.
    open_timeout_s, idle_timeout_s : float
        Longest wait for the answer's headers, and for each next chunk.
    """

    __slots__ = ('_http', '_idle_timeout_s', '_open_timeout_s')

    def __init__(
        self,
        *,
        http: caller.Caller,
        open_timeout_s: float,
        idle_timeout_s: float,
    ) -> None:
        self._http = http
        self._open_timeout_s = open_timeout_s
        self._idle_timeout_s = idle_timeout_s

    def __repr__(self) -> str:
        return f'{type(self).__name__}()'

    async def relay(
        self,
        handler: tornado.web.RequestHandler,
        url: str,
        *,
        team: str,
        body: bytes,
        caller_is_gone: typing.Callable[[], bool],
    ) -> bool:
        """Relay a request; return False if the holder sent no answer."""
        request = handler.request
        headers = {TEAM_HEADER: team}
        for name in FORWARDED_HEADERS:
            value = request.headers.get(name)
            if value is not None:
                headers[name] = value
        link = await self._http.open(
            method=str(request.method),
            url=f'{url}{PREFIX}{request.uri}',
            body=body,
            headers=headers,
            timeout_s=self._open_timeout_s,
        )
        if isinstance(link, call_failed.CallFailed):
            return False
        handler.set_status(link.status)
        for name, value in link.headers.items():
            if name.lower() not in DROPPED_HEADERS:
                handler.set_header(name, value)
        try:
            async for chunk in link.chunks(
                idle_timeout_s=self._idle_timeout_s
            ):
                if caller_is_gone():
                    return True
                handler.write(chunk)
                await handler.flush()
            complete = link.whole
        except (TimeoutError, tornado.iostream.StreamClosedError):
            complete = False
        finally:
            link.close()
        if complete:
            handler.finish()
            return True
        # Closes the connection so that a truncated answer does not look
        # complete.
        connection = request.connection
        connection.stream.close()  # type: ignore[union-attr]
        return True
