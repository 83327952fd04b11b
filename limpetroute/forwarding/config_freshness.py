"""Finds out whether this host holds the newest configuration."""

import asyncio
import logging
import typing

from limpetroute.forwarding import fleet_view
from limpetroute.forwarding import leader_channel

LOG = logging.getLogger(__name__)

CALL_TIMEOUT_S = 0.3
# A new version arrives within a few round trips after it is acknowledged.
MAX_WAIT_S = 0.4
POLL_INTERVAL_S = 0.02


class ConfigFreshness:
    """Finds out whether this host holds the newest configuration.

    A caller whose key was just added may reach a host that has not
    received it yet. Callers give up after 401, so a host makes sure that
    it is not behind before it says that a key is unknown. All requests
    that wait share one call to the leader.

    Parameters
    ----------
    channel : LeaderChannel
        Calls to the leader.
    view : FleetView
        Holds the configuration.
    """

    def __init__(
        self,
        *,
        channel: leader_channel.LeaderChannel,
        view: fleet_view.FleetView,
    ) -> None:
        self._channel = channel
        self._view = view
        self._running: asyncio.Task[int | None] | None = None
        self._next: asyncio.Task[int | None] | None = None

    def __repr__(self) -> str:
        return f'{type(self).__name__}(version={self._view.routes.version!r})'

    async def confirm(self) -> bool:
        """Return whether this host holds the newest configuration.

        Waits a short time for a newer version to arrive.
        """
        newest = await self._newest_version()
        if newest is None:
            return False
        loop = asyncio.get_running_loop()
        until_s = loop.time() + MAX_WAIT_S
        while self._view.routes.version < newest:
            if loop.time() > until_s:
                return False
            await asyncio.sleep(POLL_INTERVAL_S)
        return True

    async def _newest_version(self) -> int | None:
        """Return the newest version at a time after this call began.

        A call that is already under way may have been answered before
        that, so this waits for the next one.
        """
        if self._running is not None and not self._running.done():
            if self._next is None:
                self._next = asyncio.create_task(
                    self._call_after(self._running)
                )
            return await asyncio.shield(self._next)
        self._running = asyncio.create_task(self._call())
        return await asyncio.shield(self._running)

    async def _call_after(
        self, running: 'asyncio.Task[int | None]'
    ) -> int | None:
        await asyncio.wait([running])
        self._running, self._next = self._next, None
        return await self._call()

    async def _call(self) -> int | None:
        if self._channel.unavailable is not None:
            return None
        reply = await self._channel.call(
            '/v1/routes/newest', method='GET', timeout_s=CALL_TIMEOUT_S
        )
        if isinstance(reply, leader_channel.LeaderUnavailable) or not reply.ok:
            return None
        try:
            body: dict[str, typing.Any] = reply.json()
            return int(body['version'])
        except (ValueError, KeyError, TypeError) as exc:
            LOG.error(
                'invalid response about the newest routes',
                extra={'url': self._channel.url, 'reason': str(exc)},
            )
            return None
