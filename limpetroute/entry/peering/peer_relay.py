"""Relays a caller's request to the entry host that holds its record."""

import logging
import typing

import tornado.iostream
import tornado.web

from limpetroute.wire import call_failed
from limpetroute.wire import caller
from limpetroute.wire import connection

LOG = logging.getLogger(__name__)

PREFIX = '/v1/peers/relay'
TEAM_HEADER = 'Limpetroute-Relayed-Team'
# Asks the holder to withhold the end of the answer until the relaying host
# requests it.
WITHHOLD_HEADER = 'Limpetroute-Withhold-End'
# The holder names the attachment whose end it withholds.
ATTACHMENT_HEADER = 'Limpetroute-Attachment'
FORWARDED_HEADERS = ('Last-Event-ID', 'Idempotency-Key', 'Content-Type')
DROPPED_HEADERS = frozenset(
    {
        ATTACHMENT_HEADER.lower(),
        'connection',
        'content-length',
        'date',
        'server',
        'transfer-encoding',
    }
)


class PeerRelay:
    """Streams an answer from the host that holds a record to the caller.

    Only the holder decides which connection receives the answer: it
    fences older attachments on all hosts. It withholds the end until all
    other bytes have been written to the caller. Otherwise an answer that
    was lost with the relaying host would count as delivered.

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
        headers = {TEAM_HEADER: team, WITHHOLD_HEADER: '1'}
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
            if complete and not caller_is_gone():
                complete = await self._write_end(handler, url, team, link)
        except (TimeoutError, tornado.iostream.StreamClosedError):
            complete = False
        finally:
            link.close()
        if complete:
            handler.finish()
            return True
        # Closes the connection so that a truncated answer does not look
        # complete.
        stream = request.connection.stream  # type: ignore[union-attr]
        stream.close()
        return True

    async def _write_end(
        self,
        handler: tornado.web.RequestHandler,
        url: str,
        team: str,
        link: connection.Connection,
    ) -> bool:
        """Write the end that the holder withheld, if it withheld one.

        Returns
        -------
        bool
            False if the holder does not release the end, because it is
            lost or another connection has replaced this one.
        """
        number = link.headers.get(ATTACHMENT_HEADER)
        if number is None:
            return True
        request_id = link.headers['Limpetroute-Request-Id']
        end = await self._http.call(
            method='POST',
            url=f'{url}{PREFIX}/v1/requests/{request_id}/end/{number}',
            headers={TEAM_HEADER: team},
            timeout_s=self._idle_timeout_s,
        )
        if isinstance(end, call_failed.CallFailed) or not end.ok:
            LOG.info('the end of %s was not released: %r', request_id, end)
            return False
        handler.write(end.body)
        return True
