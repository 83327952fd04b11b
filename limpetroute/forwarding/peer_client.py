"""Passes requests to other entry hosts."""

import asyncio
import ssl

from tornado import httputil

from limpetroute.border import stream_version_header
from limpetroute.forwarding import caller_request
from limpetroute.forwarding import dialect as dialect_module
from limpetroute.forwarding import peer_call
from limpetroute.forwarding import peer_protocol
from limpetroute.forwarding import response_reader
from limpetroute.routing import peer_directory
from limpetroute.routing import send_result
from limpetroute.wire import credentials
from limpetroute.wire import token_guard


class PeerClient:
    """Passes requests to other entry hosts.

    Parameters
    ----------
    directory : PeerDirectory
        The other entry hosts.
    dialect : Dialect
        Formats of requests.
    trust : Credentials
        What this host sends and accepts.
    """

    def __init__(
        self,
        *,
        directory: peer_directory.PeerDirectory,
        dialect: dialect_module.Dialect,
        trust: credentials.Credentials,
    ) -> None:
        self.directory = directory
        self._dialect = dialect
        self._token = trust.token
        self._tls: ssl.SSLContext | None = trust.client_tls

    def __repr__(self) -> str:
        return f'{type(self).__name__}(directory={self.directory!r})'

    @property
    def has_hosts(self) -> bool:
        """Whether another host is known, also one that is passed over."""
        return self.directory.has_hosts

    def choose(self, tried: set[str]) -> peer_directory.PeerHost | None:
        """Return the host to pass a request to, or None."""
        return self.directory.choose(tried=tried, now_s=_now_s())

    def new_call(self, host: peer_directory.PeerHost) -> peer_call.PeerCall:
        """Return a new call to a host."""
        return peer_call.PeerCall(host=host, tls=self._tls)

    def note_result(
        self,
        host: peer_directory.PeerHost,
        failed: response_reader.SendFailure | None,
    ) -> None:
        """Record whether a host took a request.

        One that did nothing with it is passed over for a while.
        """
        if failed is None:
            self.directory.note_served(host.host_id)
            return
        if failed.result is not send_result.SendResult.TIMED_OUT:
            self.directory.avoid(host.host_id, _now_s())

    def headers(
        self,
        request: caller_request.CallerRequest,
        remaining_s: float,
        last_event_id: str,
        version: str | None = None,
    ) -> httputil.HTTPHeaders:
        """Return the headers of a request that is passed on.

        Parameters
        ----------
        request : CallerRequest
            The caller's request.
        remaining_s : float
            Time left for the answer.
        last_event_id : str
            Last event that was relayed to the caller; empty if none was.
        version : str or None
            Software version that began the stream; None if unknown.
        """
        headers = self._dialect.peer_headers(
            request, remaining_s, last_event_id
        )
        headers.pop(peer_protocol.TOKEN, None)
        headers.pop(stream_version_header.NAME, None)
        if version is not None:
            headers[stream_version_header.NAME] = stream_version_header.encode(
                version
            )
        if self._token is not None:
            headers[peer_protocol.TOKEN] = token_guard.SCHEME + self._token
        return headers


def _now_s() -> float:
    return asyncio.get_running_loop().time()
