"""Heartbeats of a stand-in runner."""

import asyncio
import typing

from limpetroute.wire import caller

ANNOUNCE_TIMEOUT_S = 1.0


class Announcer:
    """Posts a runner's announcement to every entry host.

    Parameters
    ----------
    http : Caller
        Makes the calls.
    urls : sequence of str
        Internal addresses of the entry hosts.
    heartbeat_s : float
        Interval between announcements.
    make_body : callable
        Returns the current announcement.
    """

    __slots__ = ('_heartbeat_s', '_http', '_make_body', '_urls')

    def __init__(
        self,
        *,
        http: caller.Caller,
        urls: typing.Sequence[str],
        heartbeat_s: float,
        make_body: typing.Callable[[], dict[str, typing.Any]],
    ) -> None:
        self._http = http
        self._urls = tuple(urls)
        self._heartbeat_s = heartbeat_s
        self._make_body = make_body

    def __repr__(self) -> str:
        return f'{type(self).__name__}(urls={self._urls!r})'

    async def announce(self) -> None:
        """Post the announcement to every entry host once."""
        body = self._make_body()
        calls = [
            self._http.call(
                method='POST',
                url=f'{url.rstrip("/")}/v1/runners',
                body=body,
                timeout_s=ANNOUNCE_TIMEOUT_S,
            )
            for url in self._urls
        ]
        await asyncio.gather(*calls)

    async def heartbeats(self) -> None:
        """Post the announcement at every interval until cancelled."""
        while True:
            await self.announce()
            await asyncio.sleep(self._heartbeat_s)
