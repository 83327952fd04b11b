"""Copies of this host's records, and copies kept for other hosts."""

import asyncio
import dataclasses
import logging
import typing

from limpetroute.entry.peering import peer_calls
from limpetroute.entry.peering import peer_clock
from limpetroute.entry.peering import peer_codec
from limpetroute.entry.records import live_record
from limpetroute.entry.runs import run_request
from limpetroute.peers import copy_holder
from limpetroute.peers import copy_sender
from limpetroute.peers import lease_holder
from limpetroute.peers import member_view
from limpetroute.peers import rendezvous
from limpetroute.peers import zone_cost

LOG = logging.getLogger(__name__)

HOST_RESOURCE_PREFIX = 'host:'
MAX_COPY_TRIES = 3
TakeOverRecord = typing.Callable[[copy_holder.CopiedRecord], None]
AbandonRecords = typing.Callable[[], None]


class PeerCopies:
    """Copies records to a successor host, and takes over from dead owners.

    Parameters
    ----------
    host_id, zone : str
        This host.
    name : str
        Name of this host and its incarnation.
    leases : LeaseHolder
        The leases of this host.
    calls : PeerCalls
        Calls to other hosts.
    url_of : callable
        Returns the address of a host, or None.
    costs : ZoneCosts
        Round-trip times between zones.
    fence_floor : int
        Lowest fencing number of this process.
    take_over_record : callable
        Continues the request of a record whose owner is dead.
    abandon_records : callable
        Stops work on records that another host may have taken over.
    epoch_of : callable
        Returns the epoch that a host last published.
    new_epoch : callable
        Publishes a new epoch of this host to the other hosts.
    """

    def __init__(
        self,
        *,
        host_id: str,
        zone: str,
        name: str,
        leases: lease_holder.LeaseHolder,
        calls: peer_calls.PeerCalls,
        url_of: typing.Callable[[str], str | None],
        costs: zone_cost.ZoneCosts,
        fence_floor: int,
        take_over_record: TakeOverRecord,
        abandon_records: AbandonRecords,
        epoch_of: typing.Callable[[str], int],
        new_epoch: typing.Callable[[int], None],
    ) -> None:
        self._host_id = host_id
        self._zone = zone
        self._name = name
        self._epoch = 0
        self._owner = f'{name}.0'
        self._epoch_of = epoch_of
        self._new_epoch = new_epoch
        self._leases = leases
        self._calls = calls
        self._url_of = url_of
        self._costs = costs
        self._fence_floor = fence_floor
        self._take_over_record = take_over_record
        self._abandon_records = abandon_records
        self._fence: int | None = None
        self._lease_until_s = 0.0
        self._sending = asyncio.Lock()
        self.sender = copy_sender.CopySender(owner=self._owner)
        self.copies = copy_holder.CopyHolder()
        self.copies_missed = 0
        self.taken_over = 0
        leases.want(
            HOST_RESOURCE_PREFIX + self._owner, fence_floor=fence_floor
        )

    def __repr__(self) -> str:
        return f'{type(self).__name__}(owner={self._owner!r})'

    @property
    def owner(self) -> str:
        """Name under which this host owns its records now."""
        return self._owner

    @property
    def may_serve(self) -> bool:
        """Whether this host holds the lease on its own records."""
        return (
            self._fence is not None
            and peer_clock.clock_s() < self._lease_until_s
        )

    def add_record(
        self,
        live: live_record.LiveRecord,
        request: run_request.RunRequest,
        *,
        stream: bool = True,
    ) -> None:
        """Hold a record under this host's lease, and start to copy it."""
        fence = self._fence
        record = live.record
        record.may_deliver = lambda: self._is_current(fence)
        live.before_end = self.ensure_copied
        details = dataclasses.asdict(request)
        details['stream'] = stream
        self.sender.add(
            copy_sender.OwnRecord(
                record=record,
                request=details,
                runner=lambda: _runner_of(live),
            )
        )

    def drop_copy(self, request_id: str) -> None:
        """Schedule the removal of the successor's copy of a record."""
        self.sender.remove(request_id)

    async def ensure_copied(self, live: live_record.LiveRecord) -> None:
        """Wait until the successor has the record's newest state.

        If no other host is alive, or copying fails ``MAX_COPY_TRIES``
        times, the answer is sent without a copy and counted in
        ``copies_missed``.
        """
        request_id = live.record.request_id
        for _ in range(MAX_COPY_TRIES):
            if not self.sender.successor_id:
                break
            if await self._send(only=request_id):
                return
        self.copies_missed += 1

    async def flush(self) -> None:
        """Send the changes that the successor lacks."""
        if self.sender.successor_id and not self._sending.locked():
            await self._send()

    async def _send(self, only: str | None = None) -> bool:
        if only is None:
            async with self._sending:
                return await self._send_batch(None)
        return await self._send_batch(only)

    async def _send_batch(self, only: str | None) -> bool:
        successor_id = self.sender.successor_id
        batch = self.sender.batch(only)
        if batch is None:
            return True
        url = self._url_of(successor_id)
        if url is None:
            return False
        reply = await self._calls.post_and_decode(
            url,
            'copies',
            peer_codec.COPY_BATCH.encode(batch),
            peer_codec.COPY_REPLY.decode,
        )
        if reply is None:
            return False
        self.sender.on_reply(batch, reply, successor_id)
        if not reply.taken:
            return False
        return only is None or self.sender.is_copied(only)

    # -- leases

    def check_lease(self) -> None:
        """Update the state of the lease on this host's records.

        If the lease has expired, another host may have taken the
        records over, so this host must not deliver them to callers.
        """
        held = self._leases.held(
            HOST_RESOURCE_PREFIX + self._owner, peer_clock.clock_s()
        )
        fence = held.fence if held is not None else None
        if self._fence is not None and fence != self._fence:
            LOG.warning('lease on own records expired: %s', self._owner)
            self._fence = None
            self._abandon_records()
            self._start_epoch()
            return
        if held is not None:
            self._lease_until_s = held.until_s
        if fence != self._fence:
            LOG.info('lease on own records: fence %s', fence)
        self._fence = fence

    def _start_epoch(self) -> None:
        """Continue under a new owner name; the old one's lease expires.

        A host that was frozen may resume before other hosts consider it
        dead, and would regain the lease under the old name. It has
        dropped its records, and the successor could not take them over
        because their owner would count as alive.
        """
        self._leases.relinquish(HOST_RESOURCE_PREFIX + self._owner)
        self._epoch += 1
        self._owner = f'{self._name}.{self._epoch}'
        self.sender = copy_sender.CopySender(owner=self._owner)
        self._leases.want(
            HOST_RESOURCE_PREFIX + self._owner, fence_floor=self._fence_floor
        )
        self._new_epoch(self._epoch)

    def choose_successor(self, view: member_view.MemberView) -> None:
        """Choose a new successor if the current host does not work."""
        working = {
            item.host_id: item.zone
            for item in view.working
            if item.host_id != self._host_id
        }
        successor_id = self.sender.successor_id
        if successor_id not in working:
            names = rendezvous.ranked(self._owner, working)
            ranked = zone_cost.rank_successors(
                zone=self._zone,
                hosts=[(name, working[name]) for name in names],
                costs=self._costs,
            )
            successor_id = ranked[0] if ranked else ''
            if successor_id != self.sender.successor_id:
                LOG.info('copies go to host %s', successor_id or '(none)')
            self.sender.set_successor(successor_id)
        if successor_id and not self.sender.uncopied:
            self._leases.set_successor(
                HOST_RESOURCE_PREFIX + self._owner, successor_id
            )

    def take_over(self, view: member_view.MemberView) -> None:
        """Take over copies of gone owners whose lease this host obtains."""
        for owner in self.copies.owners:
            if is_gone(owner, view, self._epoch_of):
                self._leases.want(
                    HOST_RESOURCE_PREFIX + owner, fence_floor=self._fence_floor
                )
        for resource in self._leases.wanted:
            owner = resource.removeprefix(HOST_RESOURCE_PREFIX)
            if owner == resource or owner == self._owner:
                continue
            self._take_over(resource, owner, view)

    def _take_over(
        self, resource: str, owner: str, view: member_view.MemberView
    ) -> None:
        if not is_gone(owner, view, self._epoch_of):
            self._leases.unwant(resource)
            return
        held = self._leases.held(resource, peer_clock.clock_s())
        if held is None or not self.may_serve:
            return
        if held.known_successor_id in ('', self._host_id):
            # The host that takes over first registers as the successor
            # with the voters, so that a later host with another copy
            # sees that the records are taken.
            self._leases.set_successor(resource, self._host_id)
            if held.successor_id != self._host_id:
                return
            found = self.copies.take_over(owner)
            LOG.info('took %d records over from %s', len(found), owner)
            for copied in found:
                self.taken_over += 1
                self._take_over_record(copied)
        else:
            LOG.info('dropped old copies of %s', owner)
            self.copies.drop(owner)
        self._leases.unwant(resource)

    def leave(self) -> None:
        """Release the lease so that the successor can take over at once."""
        self._fence = None
        self._leases.unwant(HOST_RESOURCE_PREFIX + self._owner)

    def _is_current(self, fence: int | None) -> bool:
        return fence is not None and fence == self._fence and self.may_serve


def is_gone(
    owner: str,
    view: member_view.MemberView,
    epoch_of: typing.Callable[[str], int],
) -> bool:
    """Whether an owner is dead, has left, or has a newer incarnation."""
    host_id, _, life = owner.rpartition('@')
    incarnation, _, epoch = life.partition('.')
    claim = view.find(host_id)
    if claim is None:
        return True
    if str(claim.incarnation) != incarnation:
        return True
    if epoch_of(host_id) > int(epoch):
        return True
    return host_id in view.gone


def _runner_of(live: live_record.LiveRecord) -> dict[str, typing.Any]:
    if live.attempt_run_id is None or live.runner_id is None:
        return {}
    return {
        'runner_id': live.runner_id,
        'run_id': live.attempt_run_id,
        'base': live.attempt_start_index,
    }
