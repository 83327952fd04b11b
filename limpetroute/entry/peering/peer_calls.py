"""Calls from one entry host to another."""

import collections
import typing

from limpetroute.wire import call_failed
from limpetroute.wire import caller

__all__ = ['PeerCalls']

PREFIX = '/v1/peers/'


class PeerCalls:
    """Makes calls to peers, each on a new connection with a deadline.

    A connection whose state was lost by a device between the hosts
    therefore delays only one call, and is never used again.

    Parameters
    ----------
    http : Caller
        Makes the calls.
    timeout_s : float
        Deadline of each call.
    """

    __slots__ = ('_http', '_timeout_s', 'counts')

    def __init__(self, *, http: caller.Caller, timeout_s: float) -> None:
        self._http = http
        self._timeout_s = timeout_s
        self.counts: collections.Counter[str] = collections.Counter()

    def __repr__(self) -> str:
        return f'{type(self).__name__}(counts={dict(self.counts)!r})'

    async def post(
        self,
        url: str,
        name: str,
        body: bytes,
        *,
        timeout_s: float | None = None,
    ) -> bytes | None:
        """Post a message; return the reply's body, or None if it failed."""
        self.counts[name] += 1
        self.counts['sent_bytes'] += len(body)
        got = await self._http.call(
            method='POST',
            url=f'{url}{PREFIX}{name}',
            body=body,
            timeout_s=timeout_s or self._timeout_s,
        )
        if isinstance(got, call_failed.CallFailed) or not got.ok:
            self.counts[f'{name}_failed'] += 1
            return None
        return got.body

    async def post_and_decode(
        self,
        url: str,
        name: str,
        body: bytes,
        decode: typing.Callable[[bytes], typing.Any],
        *,
        timeout_s: float | None = None,
    ) -> typing.Any | None:
        """Post a message and decode its reply."""
        got = await self.post(url, name, body, timeout_s=timeout_s)
        if got is None:
            return None
        try:
            return decode(got)
        except ValueError:
            self.counts[f'{name}_garbled'] += 1
            return None
