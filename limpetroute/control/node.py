"""One control host: its groups, its journal and its peer links."""

import asyncio
import dataclasses
import logging
import random
import time
import typing

import xxhash

from limpetroute.agreement import events
from limpetroute.agreement import host_contacts
from limpetroute.agreement import membership_reconciler
from limpetroute.agreement import messages
from limpetroute.agreement import replacement
from limpetroute.agreement import replica as replica_module
from limpetroute.agreement import timings as timings_module
from limpetroute.border import control_settings
from limpetroute.border import peer_batch
from limpetroute.control import commands
from limpetroute.control import control_state
from limpetroute.control import data_folder
from limpetroute.control import entry_directory
from limpetroute.control import folder_error
from limpetroute.control import group as group_module
from limpetroute.control import host_reports
from limpetroute.control import journal as journal_module
from limpetroute.control import journal_writer
from limpetroute.control import peer_link
from limpetroute.control import replacements
from limpetroute.control import routes_splitter
from limpetroute.control import seeds as seeds_module
from limpetroute.control import trial_times
from limpetroute.routing import balancing
from limpetroute.server import port_observer
from limpetroute.telemetry import boot_clock
from limpetroute.telemetry import loop_lag
from limpetroute.wire import caller

LOG = logging.getLogger(__name__)

CONFIG_GROUP = 0
# Heartbeat periods between two hello batches to a peer.
HELLO_HEARTBEATS = 4
HOST_LIVE_S = 10.0
HOST_FORGET_S = 86400.0
FORGET_EVERY_S = 5.0
# Event loop lag is logged above this fraction of the election timeout. A
# leader whose lag reaches the whole timeout loses its term.
LOOP_LAG_LOG_FRACTION = 0.1
# Time between attempts to use a failed disk again.
REOPEN_S = 0.5


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _SeenHost:
    replica_id: str
    url: str
    blank: bool
    last_seen_s: float


class Node:
    """One control host: its groups, its journal and its peer links.

    Parameters
    ----------
    settings : ControlSettings
        Validated settings.
    url : str
        Address at which the other control hosts reach this host.
    folder : DataFolder
        The opened data folder.
    reopen : callable or None
        Opens the folder again after a failed write; None to leave the
        replicas in the failed state.
    max_batch : int or None
        See `JournalWriter`.
    """

    def __init__(
        self,
        *,
        settings: control_settings.ControlSettings,
        url: str,
        folder: data_folder.DataFolder,
        reopen: typing.Callable[[], data_folder.DataFolder] | None = None,
        max_batch: int | None = None,
    ) -> None:
        self.settings = settings
        self.url = url
        self.folder = folder
        # Further fields of the status report, set by components.
        self.describers: dict[str, typing.Callable[[], typing.Any]] = {}
        self.reports = host_reports.HostReports(
            live_s=HOST_LIVE_S, forget_s=HOST_FORGET_S
        )
        self.entry_directory = entry_directory.EntryDirectory()
        self.balancing = balancing.Balancing(mode=settings.balancing.mode)
        self.failure = ''
        self.replacements = replacements.Replacements()
        self.routes_splitter = routes_splitter.RoutesSplitter()
        self.trial_times = trial_times.TrialTimes()
        self.port_observer = port_observer.RelayedObserver()
        self.loop_lag = loop_lag.LoopLag(
            log_from_s=settings.election_s * LOOP_LAG_LOG_FRACTION
        )
        self._rng = random.Random()
        self._timings = timings_module.Timings(
            heartbeat_s=settings.heartbeat_s,
            election_s=settings.election_s,
            drift=settings.clock_drift,
            min_voters=_min_voters(settings),
            max_voters=_max_voters(settings),
        )
        trust = settings.credentials()
        self._http = caller.Caller(tls=trust.client_tls, token=trust.token)
        self._seen_hosts: dict[str, _SeenHost] = {}
        self._links: dict[str, peer_link.PeerLink] = {}
        self._tasks: list[asyncio.Task[None]] = []
        self._reopen = reopen
        self._max_batch = max_batch
        self._journal_writer = self._make_journal_writer()
        self.groups: list[group_module.Group] = []
        self._started_s = 0.0
        self._contacts = host_contacts.HostContacts(started_s=self.now_s)
        self._membership_reconciler = (
            membership_reconciler.MembershipReconciler(
                catch_up_s=settings.catch_up_s
            )
        )

    def __repr__(self) -> str:
        return f'{type(self).__name__}(host_id={self.settings.host_id!r})'

    @property
    def syncs(self) -> int:
        """Number of journal syncs since the start."""
        return self._journal_writer.syncs

    @property
    def links(self) -> dict[str, bool]:
        """Whether each other control host is reachable, by URL."""
        return {url: link.reachable for url, link in self._links.items()}

    @property
    def now_s(self) -> float:
        """Monotonic clock of this process, in seconds."""
        return boot_clock.now_s()

    @property
    def config(self) -> group_module.Group:
        """The group that holds manifests and fencing numbers."""
        return self.groups[CONFIG_GROUP]

    def claim_group(self, team: str, key: str) -> group_module.Group:
        """Return the group that holds a claim."""
        digest = xxhash.xxh64_intdigest(f'{team}\n{key}'.encode())
        return self.groups[1 + digest % self.settings.claim_groups]

    def url_of(self, host_id: str) -> str:
        """Return a control host's address, or an empty string."""
        if host_id == self.settings.host_id:
            return self.url
        seen = self._seen_hosts.get(host_id)
        if seen:
            return seen.url
        if self.settings.seeds and host_id:
            return self._seed_url(host_id)
        return ''

    @property
    def urls(self) -> list[str]:
        """Addresses of control hosts seen recently, including this one."""
        now_s = self.now_s
        seen = [
            seen_host.url
            for seen_host in self._seen_hosts.values()
            if now_s - seen_host.last_seen_s <= host_contacts.PRESENT_S
        ]
        return [self.url, *seen]

    def is_complete(self) -> bool:
        """Return whether the group has as many voters as it should.

        A group of seeds has fewer voters right after its bootstrap, and an
        entry acknowledged then would be lost with the disks of two hosts.
        Callers therefore wait until the group is complete, but at most
        ``full_group_wait_s`` in case some hosts never start.
        """
        wanted = self._wanted_voters()
        if len(self.config.replica.membership.voters) >= wanted:
            return True
        waited_s = self.now_s - self._started_s
        return waited_s > self.settings.full_group_wait_s

    def start(self) -> None:
        """Start the groups and connect to the other control hosts."""
        self._make_groups()
        self._journal_writer.start()
        self._started_s = self.now_s
        for url in self.settings.peer_urls:
            self._add_link(url)
        self._link_to_seeds()
        self._tasks = [asyncio.create_task(self._tick())]
        self.loop_lag.start()

    async def stop(self) -> None:
        """Stop; no command is acknowledged afterwards."""
        self.loop_lag.stop()
        for task in self._tasks:
            task.cancel()
        for link in self._links.values():
            link.stop()
        await self._journal_writer.stop()
        self.folder.close()

    def receive(self, batch: peer_batch.PeerBatch) -> None:
        """Process a batch from another control host."""
        if batch.host_id == self.settings.host_id:
            LOG.error(
                '%s has the same host_id as this host: %s',
                batch.url,
                batch.host_id,
            )
            return
        now_s = self.now_s
        self._seen_hosts[batch.host_id] = _SeenHost(
            replica_id=batch.replica_id,
            url=batch.url,
            blank=batch.blank,
            last_seen_s=now_s,
        )
        self._contacts.record(batch.host_id, batch.replica_id, now_s)
        if batch.url not in self._links:
            self._add_link(batch.url)
        for url in batch.urls:
            if url != self.url and url not in self._links:
                self._add_link(url)
        self.reports.receive(batch.hosts, now_s)
        self.replacements.receive(batch.replacements, now_s)
        if batch.founding is not None and self._is_pristine():
            if batch.founding.get(self.settings.host_id) == (
                self.folder.replica_id
            ):
                self._bootstrap(batch.founding)
        for body in batch.envelopes:
            if body.group >= len(self.groups):
                continue
            envelope = messages.Envelope(
                sender=body.sender, to=body.to, message=body.message
            )
            self.groups[body.group].feed(events.Received(envelope=envelope))

    def replace(self, old_host: str, new_host: str) -> str:
        """Replace a host's replicas by those of another host.

        Returns
        -------
        str
            The reason why this is not possible, or an empty string.
        """
        if new_host not in self._seen_hosts:
            return f'new_host: {new_host!r} has not been heard'
        if self.config.replica.membership.of_host(old_host) is None:
            return f'old_host: {old_host!r} has no replica here'
        self.replacements.note(old_host, new_host, self.now_s)
        return ''

    def _make_journal_writer(self) -> journal_writer.JournalWriter:
        return journal_writer.JournalWriter(
            journal=self.folder.journal,
            on_synced=self._on_synced,
            on_failed=self._on_failed,
            max_batch=self._max_batch,
        )

    async def _recover_disk(self) -> None:
        """Restart the replicas from the disk, once it works again.

        Otherwise a disk that was full for some seconds would disable its
        replica until an operator restarts the process, and two more such
        hosts would stop the group. The content is read and synced again
        before it is used, because the failed write may be incomplete.
        """
        assert self._reopen is not None
        while self.failure:
            await asyncio.sleep(REOPEN_S)
            try:
                folder = self._reopen()
            except (folder_error.FolderError, OSError) as exc:
                LOG.warning(
                    'disk still unusable',
                    extra={'reason': str(exc)},
                )
                continue
            await self._journal_writer.stop()
            self.folder = folder
            self.failure = ''
            self._journal_writer = self._make_journal_writer()
            self._journal_writer.start()
            self._make_groups()
            LOG.warning(
                'disk usable again',
                extra={'replica': folder.replica_id},
            )

    def _make_groups(self) -> None:
        settings = self.settings
        self.groups = []
        for number in range(1 + settings.claim_groups):
            replica = replica_module.Replica(
                replica_id=self.folder.replica_id,
                timings=self._timings,
                saved=self.folder.saved(number),
                rng=random.Random(self._rng.random()),
                now_s=self.now_s,
            )
            self.groups.append(
                group_module.Group(
                    number=number,
                    replica=replica,
                    make_state=self._make_state,
                    write=self._put,
                    send=self._send,
                    compact_after=settings.compact_after,
                )
            )

    def _put(self, item: journal_module.GroupWrites) -> None:
        self._journal_writer.put(item)

    def _make_state(self) -> control_state.ControlState:
        return control_state.ControlState(
            max_claim_bytes=self.settings.max_claim_bytes
        )

    def _add_link(self, url: str) -> None:
        link = peer_link.PeerLink(
            url=url,
            http=self._http,
            make_hello=self._make_hello,
            reports=self.reports,
            hello_s=self.settings.heartbeat_s * HELLO_HEARTBEATS,
            timeout_s=self.settings.election_s * 0.4,
        )
        self._links[url] = link
        link.start()

    def _make_hello(self) -> peer_batch.PeerBatch:
        return peer_batch.PeerBatch(
            host_id=self.settings.host_id,
            replica_id=self.folder.replica_id,
            url=self.url,
            blank=self._is_pristine(),
            founding=self.folder.bootstrap_replicas,
            replacements=self.replacements.bodies(self.now_s),
            urls=self.urls if self.settings.seeds else [],
        )

    def _send(self, group: int, envelope: messages.Envelope) -> None:
        member = self.groups[group].replica.membership.get(envelope.to)
        host_id = member.host_id if member else envelope.to.rpartition('.')[0]
        link = self._links.get(self.url_of(host_id))
        if link is not None:
            link.put(group, envelope)

    def _on_synced(self, group: int, write_id: int) -> None:
        self.groups[group].feed(events.Persisted(write_id=write_id))

    def _on_failed(self, reason: str) -> None:
        self.failure = reason
        for group in self.groups:
            group.feed(events.PersistFailed(reason=reason))
        if self._reopen is not None:
            self._tasks.append(asyncio.create_task(self._recover_disk()))

    # Bootstrap and replacement

    def _is_pristine(self) -> bool:
        if not self.folder.blank:
            return False
        for group in self.groups:
            if group.replica.term or group.replica.log.last_index:
                return False
        return True

    def _bootstrap_if_all_blank(self) -> None:
        """Bootstrap the groups once all hosts are up with empty disks.

        All hosts are required. Otherwise two hosts that lost their disks
        would bootstrap a new group and ignore the state of the third.
        """
        if self.settings.seeds:
            return
        if not self.settings.may_found or not self._is_pristine():
            return
        replicas = {self.settings.host_id: self.folder.replica_id}
        for host_id, seen in self._seen_hosts.items():
            if (
                not seen.blank
                or self.now_s - seen.last_seen_s > host_contacts.PRESENT_S
            ):
                return
            replicas[host_id] = seen.replica_id
        if len(replicas) != len(self.settings.peer_urls) + 1:
            return
        if min(replicas) == self.settings.host_id:
            self._bootstrap(replicas)

    def _bootstrap(self, replicas: dict[str, str]) -> None:
        try:
            self.folder.bootstrap(replicas)
        except OSError as exc:
            LOG.error('cannot write the bootstrap file: %s', exc)
            self._on_failed(f'disk: {exc}')
            return
        LOG.info('bootstrapped with %s', ', '.join(sorted(replicas)))
        self._make_groups()

    def _update_membership(self, group: group_module.Group) -> None:
        replica = group.replica
        if replica.role is not replica_module.Role.LEADER:
            return
        for old_host, new_host in self.replacements.all().items():
            old = replica.membership.of_host(old_host)
            if old is not None and old_host != new_host:
                group.feed(events.RemoveMember(replica_id=old.replica_id))
                return
        if self.settings.seeds:
            self._reconcile_members(group)
            return
        wanted = self._wanted_voters()
        for host_id, seen in self._seen_hosts.items():
            if self.now_s - seen.last_seen_s > host_contacts.PRESENT_S:
                continue
            if host_id in self.replacements:
                continue
            change = replacement.next_change(
                replica.membership,
                host_id=host_id,
                replica_id=seen.replica_id,
            )
            if change is None:
                continue
            is_complete = len(replica.membership.members) >= wanted
            if isinstance(change, events.AddLearner) and is_complete:
                continue
            group.feed(change)
            return

    # Groups configured by seeds

    def _seed_url(self, host_id: str) -> str:
        listen = self.settings.listen
        return seeds_module.url(
            host=host_id,
            scheme='https' if listen.tls else 'http',
            port=listen.port,
        )

    def _link_to_seeds(self) -> None:
        hosts = [seeds_module.host_of(seed) for seed in self.settings.seeds]
        if hosts:
            members = self.config.replica.membership.members
            hosts.extend(member.host_id for member in members)
        for host in hosts:
            url = self._seed_url(host)
            if url != self.url and url not in self._links:
                self._add_link(url)

    def _wanted_voters(self) -> int:
        tolerated = self.settings.tolerated_losses
        if self.settings.seeds and tolerated is not None:
            return 2 * tolerated + 1
        return len(self.settings.peer_urls) + 1

    def _reconcile_members(self, group: group_module.Group) -> None:
        now_s = self.now_s
        self._contacts.record(
            self.settings.host_id, self.folder.replica_id, now_s
        )
        change = self._membership_reconciler.next_change(
            replica=group.replica,
            contacts=self._contacts,
            wanted_voters=self._wanted_voters(),
            now_s=now_s,
        )
        if change is not None:
            LOG.info('group %d: membership change %s', group.number, change)
            group.feed(change)

    # Time

    async def _tick(self) -> None:
        period_s = self.settings.heartbeat_s / 4
        forget_due_s = self.now_s + FORGET_EVERY_S
        while True:
            await asyncio.sleep(period_s)
            self._bootstrap_if_all_blank()
            for group in self.groups:
                group.feed(events.Tick())
                self._update_membership(group)
            if self.now_s >= forget_due_s:
                forget_due_s = self.now_s + FORGET_EVERY_S
                self._forget_old()

    def _forget_old(self) -> None:
        now_s = self.now_s
        self.reports.expire(now_s)
        self.replacements.expire(now_s)
        for group in self.groups[1:]:
            command = self._forget_command(group)
            if command is None:
                continue
            if group.replica.lease_valid(now_s):
                group.feed(
                    events.Propose(commands=(commands.encode(command),))
                )

    def _forget_command(
        self, group: group_module.Group
    ) -> commands.ForgetOld | None:
        wall_s = time.time()
        settled_before_s = wall_s - self.settings.claim_retention_s
        void_before_s = wall_s - self.settings.void_retention_s
        claims = group.state.claims
        settled_s = claims.oldest_settled_s()
        void_s = claims.oldest_void_s()
        due = settled_s is not None and settled_s < settled_before_s
        due = due or (void_s is not None and void_s < void_before_s)
        if not due:
            return None
        return commands.ForgetOld(
            settled_before_s=settled_before_s, void_before_s=void_before_s
        )


def _min_voters(settings: control_settings.ControlSettings) -> int:
    if settings.seeds:
        # The membership reconciler removes an unresponsive voter only from a
        # complete group; this limit is a second safeguard.
        return 2
    return (len(settings.peer_urls) + 1) // 2 + 1


def _max_voters(settings: control_settings.ControlSettings) -> int | None:
    if settings.seeds and settings.tolerated_losses is not None:
        return 2 * settings.tolerated_losses + 1
    return None
