"""Connects one entry host to its peers."""

import asyncio
import logging
import random
import time
import typing

from limpetroute.border import announcement
from limpetroute.border import entry_settings
from limpetroute.border import peer_settings
from limpetroute.entry.peering import peer_calls
from limpetroute.entry.peering import peer_clock
from limpetroute.entry.peering import peer_codec
from limpetroute.entry.peering import peer_copies
from limpetroute.entry.peering import peer_grants
from limpetroute.entry.peering import peer_lookup
from limpetroute.entry.peering import peer_reaper
from limpetroute.entry.peering import peer_relay
from limpetroute.entry.records import record_store
from limpetroute.peers import copy_holder
from limpetroute.peers import grant_config
from limpetroute.peers import grant_coordinator
from limpetroute.peers import hand_over
from limpetroute.peers import lease_codec
from limpetroute.peers import lease_config
from limpetroute.peers import lease_message
from limpetroute.peers import member_claim
from limpetroute.peers import member_codec
from limpetroute.peers import member_message
from limpetroute.peers import member_view
from limpetroute.peers import membership
from limpetroute.peers import membership_config
from limpetroute.peers import runner_report
from limpetroute.peers import zone_cost
from limpetroute.runners import engine_pool
from limpetroute.wire import caller

LOG = logging.getLogger(__name__)

TICK_S = 0.1
RENEW_PERIOD_S = 0.5
REAP_PERIOD_S = 1.0
MAX_TASKS = 256
MANIFEST_VALUE = 'manifest'
EPOCH_VALUE = 'epoch'


class PeerNode:
    """Holds membership, leases, grants, copies and the reaper of a host.

    Parameters
    ----------
    settings : EntrySettings
        Checked settings.
    url : str
        Address of this host's internal port.
    http : Caller
        Makes the calls.
    engines : EnginePool
        Clients of the runners.
    records : RecordStore
        Records of this host.
    take_over_record : callable
        Continues the request of a record whose owner is dead.
    abandon_records : callable
        Stops work on records that another host may have taken over.
    """

    def __init__(
        self,
        *,
        settings: entry_settings.EntrySettings,
        url: str,
        http: caller.Caller,
        engines: engine_pool.EnginePool,
        records: record_store.RecordStore,
        take_over_record: typing.Callable[[copy_holder.CopiedRecord], None],
        abandon_records: typing.Callable[[], None],
    ) -> None:
        peers = settings.peers
        self._settings = settings
        self._records = records
        self._started_ms = time.time_ns() // 1_000_000
        host_id = settings.host_id
        self.host_id = host_id
        self.calls = peer_calls.PeerCalls(
            http=http, timeout_s=peers.call_timeout_s
        )
        self.members = membership.Membership(
            claim=member_claim.MemberClaim(
                host_id=host_id,
                url=url,
                zone=settings.zone,
                incarnation=self._started_ms,
            ),
            seeds=settings.peer_urls,
            config=_membership_config(peers),
            rng=random.Random(f'{host_id}@{self._started_ms}'),
        )
        grants = _grant_config(settings)
        self.grant_coordinator = grant_coordinator.GrantCoordinator(
            host_id=host_id,
            zone=settings.zone,
            voters=peers.voters,
            leases=lease_config.LeaseConfig(
                duration_s=peers.lease_s,
                renew_s=peers.renew_s,
                drift=peers.drift,
            ),
            grants=grants,
            started_s=peer_clock.clock_s(),
        )
        self.grants = peer_grants.PeerGrants(
            host_id=host_id,
            coordinator=self.grant_coordinator,
            calls=self.calls,
            url_of=self.url_of,
            config=grants,
        )
        self.copies = peer_copies.PeerCopies(
            host_id=host_id,
            zone=settings.zone,
            name=f'{host_id}@{self._started_ms}',
            leases=self.grant_coordinator.leases,
            calls=self.calls,
            url_of=self.url_of,
            costs=_zone_costs(peers),
            fence_floor=self._started_ms,
            take_over_record=take_over_record,
            abandon_records=abandon_records,
            epoch_of=self._epoch_of,
            new_epoch=self._new_epoch,
        )
        self.lookup = peer_lookup.PeerLookup(
            host_id=host_id,
            records=records,
            copies=self.copies,
            calls=self.calls,
            urls=self.other_urls,
        )
        self.reaper = peer_reaper.PeerReaper(
            coordinator=self.grant_coordinator,
            calls=self.calls,
            engines=engines,
            own_runs=self._own_runs,
            copies=self.copies.copies,
            grace_s=peers.reap_grace_s,
        )
        self.relay = peer_relay.PeerRelay(
            http=http,
            open_timeout_s=settings.prefill_timeout_s,
            idle_timeout_s=3 * settings.keep_alive_s,
        )
        self._tasks: set[asyncio.Task[typing.Any]] = set()
        self._loops: list[asyncio.Task[None]] = []

    def __repr__(self) -> str:
        return f'{type(self).__name__}(members={self.members!r})'

    # -- interface for the rest of the process

    def view(self) -> member_view.MemberView:
        """Return this host's view of all hosts."""
        return self.members.view(peer_clock.clock_s())

    def url_of(self, host_id: str) -> str | None:
        """Return a host's address, or None if it is not known."""
        found = self.view().find(host_id)
        return found.url if found is not None else None

    def other_urls(self) -> dict[str, str]:
        """Return the addresses of the other hosts that may be alive."""
        view = self.view()
        gone = set(view.gone)
        return {
            item.host_id: item.url
            for item in view.claims
            if item.host_id != self.host_id and item.host_id not in gone
        }

    def publish_manifest_number(self, number: int) -> None:
        """Publish the number of this host's manifest to the other hosts."""
        self.members.offer_value(MANIFEST_VALUE, number)

    def urls_with_newer_manifest(self, number: int) -> list[str]:
        """Return addresses of hosts that have a newer manifest."""
        return [
            url
            for host_id, url in self.other_urls().items()
            if self.members.values_of(host_id).get(MANIFEST_VALUE, 0) > number
        ]

    def _epoch_of(self, host_id: str) -> int:
        return self.members.values_of(host_id).get(EPOCH_VALUE, 0)

    def _new_epoch(self, epoch: int) -> None:
        self.members.own_values[EPOCH_VALUE] = epoch

    def announced(self, body: announcement.AnnouncementBody) -> None:
        """Pass a decode runner's announcement to the grant coordinator."""
        if body.role != 'decode' or body.report is None:
            return
        now_s = peer_clock.clock_s()
        delay_s = self._settings.peers.report_delay_s
        report = runner_report.RunnerReport(
            runner_id=body.runner_id,
            zone=body.zone,
            incarnation=body.incarnation,
            sequence=body.report.sequence,
            measured_s=now_s - body.report.age_s - delay_s,
            slots=body.slots,
            kv_capacity_bytes=body.kv_capacity_bytes,
            kv_used_bytes=body.report.kv_used_bytes,
            runs=frozenset(body.report.runs),
            leaving=body.leaving,
        )
        self.grant_coordinator.on_report(report, now_s)

    def status(self) -> dict[str, typing.Any]:
        """Return the status that operators see, as JSON values."""
        view = self.view()
        now_s = peer_clock.clock_s()
        return {
            'members': {
                item.host_id: {
                    'status': str(item.status),
                    'leaving': item.leaving,
                    'incarnation': item.incarnation,
                    'zone': item.zone,
                    'heard_age_s': view.heard_age_s.get(item.host_id),
                }
                for item in view.claims
            },
            'unsure': list(view.unsure),
            'may_serve': self.copies.may_serve,
            'heir': self.copies.sender.successor_id,
            'uncopied': self.copies.sender.uncopied,
            'copies_held': len(self.copies.copies),
            'copies_missed': self.copies.copies_missed,
            'taken_over': self.copies.taken_over,
            'reaped': self.reaper.reaped,
            'grants_held': len(self.grants.ledger),
            'leases': {
                book.runner_id: {
                    'fence': book.fence,
                    'settled': book.settled,
                    'free_slots': book.free_slots,
                    'grants': len(book.grants),
                }
                for book in self.grant_coordinator.books
                if self.grant_coordinator.holds(book.runner_id, now_s)
            },
            'calls': dict(self.calls.counts),
        }

    # -- lifecycle

    def start(self) -> None:
        """Start the periodic work."""
        peers = self._settings.peers
        self._loops = [
            asyncio.create_task(self._every(TICK_S, self._tick)),
            asyncio.create_task(
                self._every(peers.copy_period_s, self.copies.flush)
            ),
            asyncio.create_task(self._every(RENEW_PERIOD_S, self._renew)),
            asyncio.create_task(self._every(REAP_PERIOD_S, self._reap)),
        ]

    def start_leaving(self) -> None:
        """Publish that this host leaves, and hand over its runner leases."""
        self.members.start_leaving()
        self.grant_coordinator.leaving = True

    async def leave(self) -> None:
        """Release the records to the successor and notify the other hosts."""
        await self.copies.flush()
        self.copies.leave()
        await self._tick()
        now_s = peer_clock.clock_s()
        for send in self.members.leave(now_s):
            self._spawn(self._send_member_message(send))
        if self._tasks:
            await asyncio.wait(
                set(self._tasks),
                timeout=2 * self._settings.peers.call_timeout_s,
            )

    def stop(self) -> None:
        """Stop the periodic work."""
        for task in [*self._loops, *self._tasks]:
            task.cancel()

    async def _every(
        self,
        period_s: float,
        work: typing.Callable[[], typing.Awaitable[None]],
    ) -> None:
        while True:
            try:
                await work()
            except Exception:  # noqa: BLE001 - the loop must go on
                LOG.exception('periodic task failed')
            await asyncio.sleep(period_s)

    async def _tick(self) -> None:
        now_s = peer_clock.clock_s()
        for send in self.members.tick(now_s):
            self._spawn(self._send_member_message(send))
        view = self.members.view(now_s)
        self.grant_coordinator.set_hosts(
            {item.host_id: item.zone for item in view.working}
        )
        for item in self.grant_coordinator.tick(
            now_s, fence_floor=self._started_ms
        ):
            self._send_grant_message(item, now_s)
        self.copies.check_lease()
        self.copies.choose_successor(view)
        self.copies.take_over(view)

    async def _renew(self) -> None:
        self.grants.renew()

    async def _reap(self) -> None:
        await self.reaper.check(self.view())

    # -- outgoing messages

    async def _send_member_message(self, send: member_message.Send) -> None:
        got = await self.calls.post(
            send.url,
            'members',
            member_codec.encode(send.message),
            timeout_s=2 * self._settings.peers.probe_timeout_s,
        )
        if got:
            self._handle_member_message(got)

    def _send_grant_message(
        self, item: grant_coordinator.GrantMessage, now_s: float
    ) -> None:
        message = item.message
        if isinstance(message, hand_over.HandOver):
            self._spawn(self._send_hand_over(item.host_id, message))
            return
        if item.host_id == self.host_id:
            vote = self.grant_coordinator.voter.vote(message, now_s)
            self.grant_coordinator.on_vote(vote, now_s)
            return
        self._spawn(self._send_lease_request(item.host_id, message))

    async def _send_lease_request(
        self, host_id: str, message: lease_message.LeaseRequest
    ) -> None:
        url = self.url_of(host_id)
        if url is None:
            return
        vote = await self.calls.post_and_decode(
            url,
            'leases',
            lease_codec.encode_ask(message),
            lease_codec.decode_vote,
        )
        if vote is not None:
            self.grant_coordinator.on_vote(vote, peer_clock.clock_s())

    async def _send_hand_over(
        self, host_id: str, message: hand_over.HandOver
    ) -> None:
        url = self.url_of(host_id)
        if url is None:
            return
        body = peer_codec.HAND_OVER.encode(message)
        if await self.calls.post(url, 'hand_over', body) is not None:
            self.grant_coordinator.on_hand_over_accepted(message.runner_id)

    def _spawn(
        self, work: typing.Coroutine[typing.Any, typing.Any, None]
    ) -> None:
        if len(self._tasks) >= MAX_TASKS:
            # The protocol repeats lost messages, so dropping one here
            # is safe and bounds the memory.
            work.close()
            return
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # -- incoming messages

    def _handle_member_message(self, data: bytes) -> bytes:
        message = member_codec.decode(data)
        sends = self.members.receive(message, peer_clock.clock_s())
        reply = b''
        for send in sends:
            if send.message.kind is member_message.MessageKind.ACK:
                reply = member_codec.encode(send.message)
                continue
            self._spawn(self._send_member_message(send))
        return reply

    def receive(self, name: str, data: bytes) -> bytes:
        """Handle a peer's message and return the reply.

        Raises
        ------
        ValueError
            If the message is not valid.
        KeyError
            If no message has this name.
        """
        handle = {
            'members': self._handle_member_message,
            'leases': self._handle_lease_request,
            'hand_over': self._handle_hand_over,
            'grants': self._handle_grant_request,
            'copies': self._handle_copies,
            'lookup': self._handle_lookup,
            'claims': self._handle_claims,
        }[name]
        return handle(data)

    def _handle_lease_request(self, data: bytes) -> bytes:
        vote = self.grant_coordinator.voter.vote(
            lease_codec.decode_ask(data), peer_clock.clock_s()
        )
        return lease_codec.encode_vote(vote)

    def _handle_hand_over(self, data: bytes) -> bytes:
        self.grant_coordinator.on_hand_over(peer_codec.HAND_OVER.decode(data))
        return b''

    def _handle_grant_request(self, data: bytes) -> bytes:
        call = peer_codec.GRANT_CALL.decode(data)
        now_s = peer_clock.clock_s()
        if call.release:
            self.grant_coordinator.release(
                call.runner_id, call.asked.work_id, now_s
            )
            return b''
        got = self.grant_coordinator.acquire(
            call.runner_id, call.asked, now_s, again=call.again
        )
        return peer_codec.GRANT_REPLY.encode(peer_codec.grant_reply(got))

    def _handle_copies(self, data: bytes) -> bytes:
        reply = self.copies.copies.take(peer_codec.COPY_BATCH.decode(data))
        return peer_codec.COPY_REPLY.encode(reply)

    def _handle_lookup(self, data: bytes) -> bytes:
        reply = self.lookup.answer(peer_codec.LOOKUP_CALL.decode(data))
        return peer_codec.LOOKUP_REPLY.encode(reply)

    def _handle_claims(self, data: bytes) -> bytes:
        call = peer_codec.CLAIMS_CALL.decode(data)
        reply = peer_codec.ClaimsReply(claimed=self.reaper.claims(call.runs))
        return peer_codec.CLAIMS_REPLY.encode(reply)

    def _own_runs(self) -> set[str]:
        return {
            live.attempt_run_id
            for live in self._records
            if live.record.end is None and live.attempt_run_id is not None
        }


def _membership_config(
    peers: peer_settings.PeerSettings,
) -> membership_config.MembershipConfig:
    return membership_config.MembershipConfig(
        probe_period_s=peers.probe_period_s,
        probe_timeout_s=peers.probe_timeout_s,
        suspicion_s=peers.suspicion_s,
    )


def _grant_config(
    settings: entry_settings.EntrySettings,
) -> grant_config.GrantConfig:
    peers = settings.peers
    return grant_config.GrantConfig(
        valid_s=max(peers.grant_s, 2 * settings.transfer_timeout_s),
        order_flight_s=settings.transfer_timeout_s,
        report_delay_s=peers.report_delay_s,
        drift=peers.drift,
    )


def _zone_costs(peers: peer_settings.PeerSettings) -> zone_cost.ZoneCosts:
    return zone_cost.ZoneCosts(
        round_trips_ms={
            (item.one, item.two): item.round_trip_ms
            for item in peers.zone_costs
        }
    )
