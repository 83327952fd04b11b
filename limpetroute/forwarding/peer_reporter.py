"""Tells the leader where this host is, and learns of the other entry hosts."""

import asyncio
import logging
import random
import typing

from limpetroute.border import balancing_settings
from limpetroute.border import entry_hosts_body
from limpetroute.border import errors
from limpetroute.forwarding import balancing_state
from limpetroute.forwarding import leader_channel
from limpetroute.routing import peer_directory

LOG = logging.getLogger(__name__)

MIN_INTERVAL_S = 2.0
# The first host that reports to a new group is told of no other one. It asks
# again after this time, and then after twice the time before.
FIRST_INTERVAL_S = 0.25
# The leader gets at most this many reports a second from all hosts.
MAX_REPORTS_PER_S = 50.0
# A new leader gets the reports of all hosts within this time.
NEW_LEADER_SPREAD_S = 0.5
REPORT_TIMEOUT_S = 0.5


class PeerReporter:
    """Tells the leader where this host is, and learns of the other hosts.

    Parameters
    ----------
    channel : LeaderChannel
        Calls to the leader.
    directory : PeerDirectory
        Receives the other hosts.
    entry_hosts : callable
        Returns the number of entry hosts.
    host : PeerHost
        This host.
    cores : float
        Processor capacity of this host.
    balancing : BalancingState
        Receives whether hosts share their load.
    """

    def __init__(
        self,
        *,
        channel: leader_channel.LeaderChannel,
        directory: peer_directory.PeerDirectory,
        entry_hosts: typing.Callable[[], int],
        host: peer_directory.PeerHost,
        cores: float,
        balancing: balancing_state.BalancingState,
    ) -> None:
        self._channel = channel
        self._directory = directory
        self._entry_hosts = entry_hosts
        self._host = host
        self._cores = cores
        self._balancing = balancing
        self._digest = ''
        self._hosts: list[peer_directory.PeerHost] = []
        self._new_leader = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        channel.subscribe(self._start_term)

    def __repr__(self) -> str:
        return f'{type(self).__name__}(host={self._host!r})'

    def start(self) -> None:
        """Start to report."""
        self._task = asyncio.create_task(self._run())

    def stop(self) -> None:
        """Stop reporting."""
        if self._task is not None:
            self._task.cancel()

    def _start_term(self, before: str) -> None:
        self._new_leader.set()

    async def _run(self) -> None:
        interval_s = FIRST_INTERVAL_S
        while True:
            await self._report()
            longest_s = max(
                MIN_INTERVAL_S, self._entry_hosts() / MAX_REPORTS_PER_S
            )
            if self._directory.has_hosts:
                interval_s = longest_s
            try:
                async with asyncio.timeout(interval_s):
                    await self._new_leader.wait()
            except TimeoutError:
                interval_s = min(longest_s, 2 * interval_s)
                continue
            self._new_leader.clear()
            interval_s = FIRST_INTERVAL_S
            await asyncio.sleep(random.random() * NEW_LEADER_SPREAD_S)

    async def _report(self) -> None:
        if self._channel.unavailable is not None:
            return
        host = entry_hosts_body.EntryHostBody(
            host_id=self._host.host_id,
            zone=self._host.zone,
            url=self._host.url,
        )
        reply = await self._channel.call(
            '/v1/entry-hosts',
            entry_hosts_body.EntryReportBody(
                host=host, digest=self._digest
            ).model_dump(),
            headers={balancing_settings.CORES_HEADER: f'{self._cores:g}'},
            timeout_s=REPORT_TIMEOUT_S,
        )
        if isinstance(reply, leader_channel.LeaderUnavailable):
            return
        if not reply.ok:
            # A leader of an earlier release does not know the call.
            LOG.debug('entry hosts not listed', extra={'status': reply.status})
            return
        try:
            listed = errors.parse(entry_hosts_body.EntryHostsBody, reply.body)
        except errors.InvalidInputError as exc:
            LOG.error(
                'invalid list of entry hosts',
                extra={'url': self._channel.url, 'reason': str(exc)},
            )
            return
        self._balancing.note(
            reply.headers.get(balancing_settings.BALANCING_HEADER),
            leases_plain_slots=(
                balancing_settings.PLAIN_SLOTS_HEADER in reply.headers
            ),
        )
        self._apply(listed)

    def _apply(self, listed: entry_hosts_body.EntryHostsBody) -> None:
        if listed.hosts is not None:
            self._digest = listed.digest
            self._hosts = [one.to_peer() for one in listed.hosts]
            LOG.info('entry hosts listed', extra={'hosts': len(self._hosts)})
        self._directory.update(self._hosts, asyncio.get_running_loop().time())
