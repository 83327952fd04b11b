"""Calls other processes over HTTP with JSON bodies."""

import json
import ssl
import typing
import urllib.parse

from limpetroute.telemetry import trace_context
from limpetroute.wire import call_failed
from limpetroute.wire import connection
from limpetroute.wire import reply


class Caller:
    """Makes calls, each on its own connection and with a deadline.

    Parameters
    ----------
    tls : ssl.SSLContext or None
        Context for ``https`` addresses.
    token : str or None
        Bearer token put on each call.
    """

    __slots__ = ('_tls', '_token')

    def __init__(
        self, *, tls: ssl.SSLContext | None = None, token: str | None = None
    ) -> None:
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
    ) -> connection.Connection | call_failed.CallFailed:
        """Send a request and return once its headers are here.

        Returns
        -------
        Connection or CallFailed
            The caller of this method closes the connection.
        """
        parts = urllib.parse.urlsplit(url)
        tls = self._tls if parts.scheme == 'https' else None
        link = connection.Connection(
            host=parts.hostname or '', port=parts.port or 80, tls=tls
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
    ) -> reply.Reply | call_failed.CallFailed:
        """Send a request and read its whole reply."""
        link = await self.open(
            method=method,
            url=url,
            body=body,
            headers=headers,
            timeout_s=timeout_s,
        )
        if isinstance(link, call_failed.CallFailed):
            return link
        try:
            return await link.read(timeout_s=timeout_s)
        finally:
            link.close()

    def _headers(
        self, extra: typing.Mapping[str, str] | None
    ) -> dict[str, str]:
        fields = {'Content-Type': 'application/json'}
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
