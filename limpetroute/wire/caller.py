"""HTTP client for calls with JSON bodies to other processes."""

import json
import ssl
import typing
import urllib.parse

from limpetroute.telemetry import trace_context
from limpetroute.wire import call_failed
from limpetroute.wire import connection
from limpetroute.wire import connection_pool
from limpetroute.wire import delivery_bound
from limpetroute.wire import drop_reason
from limpetroute.wire import reply

DEFAULT_PORTS = {False: 80, True: 443}
# A host's calls to one server rarely overlap more than this.
MAX_IDLE = 2


class Caller:
    """Makes calls with a deadline, by default each on its own connection.

    Parameters
    ----------
    tls : ssl.SSLContext or None
        Context for ``https`` addresses, or None to trust the system's
        certificate authorities.
    token : str or None
        Bearer token to send with each call, or None.
    unzips : bool
        Whether to accept gzipped replies.
    pool : ConnectionPool or None
        Where `call` takes and keeps connections, or None to open one for
        each call.
    """

    __slots__ = ('_pool', '_tls', '_token', '_unzips')

    def __init__(
        self,
        *,
        tls: ssl.SSLContext | None = None,
        token: str | None = None,
        unzips: bool = False,
        pool: connection_pool.ConnectionPool | None = None,
    ) -> None:
        self._pool = pool
        self._unzips = unzips
        self._tls = tls
        self._token = token

    def __repr__(self) -> str:
        return f'{type(self).__name__}(tls={self._tls is not None!r})'

    async def open(
        self,
        *,
        method: str,
        url: str,
        body: typing.Any = None,
        headers: typing.Mapping[str, str] | None = None,
        timeout_s: float,
        connect_tries_s: typing.Sequence[float] = (
            connection.CONNECT_TIMEOUT_S,
        ),
        slot: connection_pool.PoolSlot | None = None,
        counts_interim: bool = False,
        delivery: delivery_bound.DeliveryBound | None = None,
    ) -> connection.Connection | call_failed.CallFailed:
        """Send a request and wait for the response headers.

        With a ``slot``, the request may be sent on a kept connection.

        Returns
        -------
        Connection or CallFailed
            The caller of this method must close the connection.
        """
        parts = urllib.parse.urlsplit(url)
        secure = parts.scheme == 'https'
        link = connection.Connection(
            host=parts.hostname or '',
            port=parts.port or DEFAULT_PORTS[secure],
            tls=self._secure_context() if secure else None,
            unzips=self._unzips,
            slot=slot,
            counts_interim=counts_interim,
            delivery=delivery,
        )
        path = parts.path or '/'
        if parts.query:
            path = f'{path}?{parts.query}'
        failed = await link.send(
            method=method,
            path=path,
            headers=self._headers(headers),
            body=_encode(body),
            timeout_s=timeout_s,
            connect_tries_s=connect_tries_s,
        )
        if failed is not None:
            return failed
        return link

    async def call(
        self,
        *,
        method: str,
        url: str,
        body: typing.Any = None,
        headers: typing.Mapping[str, str] | None = None,
        timeout_s: float,
        connect_tries_s: typing.Sequence[float] = (
            connection.CONNECT_TIMEOUT_S,
        ),
        max_reply_bytes: int = connection.MAX_BODY_BYTES,
        body_timeout_s: float | None = None,
        idle_timeout_s: float | None = None,
        counts_interim: bool = False,
        delivery: delivery_bound.DeliveryBound | None = None,
    ) -> reply.Reply | call_failed.CallFailed:
        """Send a request and read the complete reply.

        A reply longer than ``max_reply_bytes`` fails the call as garbled.
        The body must arrive within ``body_timeout_s`` after the headers;
        the default is ``timeout_s``. No gap between its chunks may exceed
        ``idle_timeout_s``. With ``counts_interim``, ``timeout_s`` is the time
        to the first response, which may be an interim one.
        """
        slot = self._slot(url)
        link = await self.open(
            method=method,
            url=url,
            body=body,
            headers=headers,
            timeout_s=timeout_s,
            connect_tries_s=connect_tries_s,
            slot=slot,
            counts_interim=counts_interim,
            delivery=delivery,
        )
        result: reply.Reply | call_failed.CallFailed
        if isinstance(link, call_failed.CallFailed):
            result = link
        else:
            try:
                result = await link.read(
                    timeout_s=body_timeout_s or timeout_s,
                    max_bytes=max_reply_bytes,
                    idle_timeout_s=idle_timeout_s,
                )
            finally:
                link.release()
        if slot is not None and isinstance(result, call_failed.CallFailed):
            # The next call finds out by a new connection whether the server
            # is reachable.
            slot.pool.drop(slot.key, drop_reason.DropReason.FAILED)
        return result

    def _slot(self, url: str) -> connection_pool.PoolSlot | None:
        """Return where connections to the server of a URL are kept."""
        if self._pool is None:
            return None
        parts = urllib.parse.urlsplit(url)
        return self._pool.slot((parts.scheme, parts.netloc), MAX_IDLE)

    def _secure_context(self) -> ssl.SSLContext:
        """Return the TLS context for ``https`` addresses."""
        if self._tls is None:
            self._tls = ssl.create_default_context()
        return self._tls

    def _headers(
        self, extra: typing.Mapping[str, str] | None
    ) -> dict[str, str]:
        fields = {'Content-Type': 'application/json'}
        if self._unzips:
            fields['Accept-Encoding'] = 'gzip'
        if self._token:
            fields['Authorization'] = f'Bearer {self._token}'
        traceparent = trace_context.current()
        if traceparent:
            fields[trace_context.HEADER] = traceparent
        fields.update(extra or {})
        return fields


def _encode(body: typing.Any) -> bytes:
    if body is None:
        return b''
    if isinstance(body, bytes):
        return body
    return json.dumps(body, separators=(',', ':')).encode()
