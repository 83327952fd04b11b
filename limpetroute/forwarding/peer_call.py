"""One request passed to another entry host."""

import ssl
import typing
import urllib.parse

from limpetroute.forwarding import caller_request
from limpetroute.forwarding import peer_protocol
from limpetroute.forwarding import response_reader
from limpetroute.routing import peer_directory
from limpetroute.routing import send_result
from limpetroute.wire import connection

CONNECT_TRIES_S = (0.1, 0.15)


class PeerCall(response_reader.ResponseReader):
    """One request passed to another entry host.

    Parameters
    ----------
    host : PeerHost
        The host.
    tls : ssl.SSLContext or None
        Context for ``https`` addresses.
    """

    def __init__(
        self, *, host: peer_directory.PeerHost, tls: ssl.SSLContext | None
    ) -> None:
        parts = urllib.parse.urlsplit(host.url)
        super().__init__(
            link=connection.Connection(
                host=parts.hostname or '',
                port=parts.port or 0,
                tls=tls if parts.scheme == 'https' else None,
            )
        )
        self.host = host

    def __repr__(self) -> str:
        return f'{type(self).__name__}(host={self.host!r})'

    async def open(
        self,
        request: caller_request.CallerRequest,
        *,
        headers: typing.Mapping[str, str],
        timeout_s: float,
    ) -> response_reader.SendFailure | None:
        """Send the request and wait for the headers of the response.

        Returns None if the response is the caller's. The result of a host
        that did nothing with the request is ``WITHHELD``.
        """
        failed = await self._link.send(
            method=request.method,
            path=request.target,
            headers=headers,
            body=request.body,
            timeout_s=max(timeout_s, 0.001),
            connect_tries_s=CONNECT_TRIES_S,
        )
        if failed is not None:
            return response_reader.SendFailure(
                result=response_reader.result_of(failed), detail=failed.detail
            )
        reason = self.headers.get(peer_protocol.DECLINED)
        if reason is None:
            return None
        return response_reader.SendFailure(
            result=send_result.SendResult.WITHHELD, detail=reason
        )
