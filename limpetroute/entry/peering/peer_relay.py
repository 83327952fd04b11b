"""Passes a caller's request to the entry host that holds its record."""

import typing

import tornado.iostream
import tornado.web

from limpetroute.wire import call_failed
from limpetroute.wire import caller

PREFIX = '/v1/peers/relay'
TEAM_HEADER = 'Limpetroute-Relayed-Team'
SENT_HEADERS = ('Last-Event-ID', 'Idempotency-Key', 'Content-Type')
DROPPED_HEADERS = frozenset(
    {'connection', 'content-length', 'date', 'server', 'transfer-encoding'}
)


class PeerRelay:
    """Copies an answer from the holder to the caller, as it comes.

    The holder alone decides which connection may receive: it fences
    older attachments wherever their callers sit.

    Parameters
    ----------
    http : Caller
        Makes the calls.
    open_timeout_s, idle_timeout_s : float
        Longest wait for the answer's headers, and between two parts.
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
        gone: typing.Callable[[], bool],
    ) -> bool:
        """Relay; return False if the holder gave no answer at all."""
        request = handler.request
        headers = {TEAM_HEADER: team}
        for name in SENT_HEADERS:
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
                if gone():
                    return True
                handler.write(chunk)
                await handler.flush()
            whole = link.whole
        except (TimeoutError, tornado.iostream.StreamClosedError):
            whole = False
        finally:
            link.close()
        if whole:
            handler.finish()
            return True
        # An answer that broke off must not look like one that ended.
        connection = request.connection
        connection.stream.close()  # type: ignore[union-attr]
        return True
