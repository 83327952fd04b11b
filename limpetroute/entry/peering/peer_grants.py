"""Acquires grants from the hosts that hold the runners' leases."""

import asyncio
import typing

from limpetroute.entry.peering import grants
from limpetroute.entry.peering import peer_calls
from limpetroute.entry.peering import peer_clock
from limpetroute.entry.peering import peer_codec
from limpetroute.peers import grant
from limpetroute.peers import grant_config
from limpetroute.peers import grant_coordinator
from limpetroute.peers import grant_ledger

MAX_HOPS = 2


class PeerGrants:
    """Acquires, renews and releases grants at the lease holders.

    The lease holder of a runner may be this host.

    Parameters
    ----------
    host_id : str
        This host.
    coordinator : GrantCoordinator
        Grants for the runners that this host leases.
    calls : PeerCalls
        Calls to other hosts.
    url_of : callable
        Returns the address of a host, or None.
    config : GrantConfig
        Validity and renewal times of grants.
    """

    __slots__ = (
        '_calls',
        '_coordinator',
        '_host_id',
        '_released',
        '_renewing',
        '_tasks',
        '_url_of',
        'ledger',
    )

    def __init__(
        self,
        *,
        host_id: str,
        coordinator: grant_coordinator.GrantCoordinator,
        calls: peer_calls.PeerCalls,
        url_of: typing.Callable[[str], str | None],
        config: grant_config.GrantConfig,
    ) -> None:
        self._host_id = host_id
        self._coordinator = coordinator
        self._calls = calls
        self._url_of = url_of
        self._renewing: set[tuple[str, str]] = set()
        self._released: set[tuple[str, str]] = set()
        self._tasks: set[asyncio.Task[typing.Any]] = set()
        self.ledger = grant_ledger.GrantLedger(config=config)

    def __repr__(self) -> str:
        return f'{type(self).__name__}(ledger={self.ledger!r})'

    async def acquire(
        self, *, runner_id: str, work_id: str, kv_bytes: int
    ) -> grants.Granted | grants.Denied:
        """Request a slot and KV memory."""
        requested = grant.Grant(
            work_id=work_id,
            run_id=work_id,
            asker_id=self._host_id,
            kv_bytes=kv_bytes,
        )
        got = await self._request_grant(runner_id, requested, again=False)
        if isinstance(got, grant.GrantGiven):
            return grants.Granted(fence=got.fence)
        if isinstance(got, grant.GrantDenied):
            return grants.Denied(free_slots=got.free_slots)
        return grants.Denied(free_slots=0)

    def release(self, *, runner_id: str, work_id: str) -> None:
        """Release a slot and its KV memory; idempotent."""
        line = self.ledger.pop(runner_id, work_id)
        if line is None:
            return
        if (runner_id, work_id) in self._renewing:
            self._released.add((runner_id, work_id))
        if line.holder_id == self._host_id:
            self._coordinator.release(runner_id, work_id, peer_clock.clock_s())
            return
        self._spawn(self._release(line))

    def may_start(self, *, runner_id: str, work_id: str) -> bool:
        """Whether an import order may still be sent under the grant."""
        return self.ledger.start(runner_id, work_id, peer_clock.clock_s())

    def renew(self) -> None:
        """Renew grants that are due, also at new lease holders."""
        now_s = peer_clock.clock_s()
        holders = {}
        for runner_id in {line.runner_id for line in self.ledger.lines()}:
            holder_id = self._coordinator.holder_of(runner_id, now_s)
            if holder_id:
                holders[runner_id] = holder_id
        for line in self.ledger.due(now_s, holders):
            again = holders.get(line.runner_id) != line.holder_id
            self._spawn(self._renew(line, again))

    async def _renew(self, line: grant_ledger.LedgerLine, again: bool) -> None:
        work_id = line.grant.work_id
        if (line.runner_id, work_id) in self._renewing:
            return
        self._renewing.add((line.runner_id, work_id))
        try:
            await self._request_grant(line.runner_id, line.grant, again=again)
        finally:
            self._renewing.discard((line.runner_id, work_id))
        # The grant was released during the renewal. It is released again,
        # because the renewal may have reserved the unused slot anew.
        if (line.runner_id, work_id) in self._released:
            self._released.discard((line.runner_id, work_id))
            self.release(runner_id=line.runner_id, work_id=work_id)

    async def _request_grant(
        self, runner_id: str, requested: grant.Grant, *, again: bool
    ) -> grant.GrantAnswer:
        requested_s = peer_clock.clock_s()
        holder_id = self._coordinator.holder_of(runner_id, requested_s)
        got: grant.GrantAnswer = grant.NotHolder()
        for _ in range(MAX_HOPS):
            got = await self._request_grant_from(
                holder_id, runner_id, requested, again
            )
            if not isinstance(got, grant.NotHolder):
                break
            if not got.holder_id or got.holder_id == holder_id:
                break
            holder_id = got.holder_id
        if isinstance(got, grant.GrantGiven):
            self.ledger.add(
                runner_id=runner_id,
                holder_id=holder_id,
                asked=requested,
                given=got,
                asked_s=requested_s,
            )
        return got

    async def _request_grant_from(
        self,
        holder_id: str,
        runner_id: str,
        requested: grant.Grant,
        again: bool,
    ) -> grant.GrantAnswer:
        if holder_id == self._host_id:
            return self._coordinator.acquire(
                runner_id, requested, peer_clock.clock_s(), again=again
            )
        url = self._url_of(holder_id)
        if url is None:
            return grant.NotHolder()
        call = peer_codec.GrantCall(
            runner_id=runner_id, asked=requested, again=again
        )
        reply = await self._calls.post_and_decode(
            url,
            'grants',
            peer_codec.GRANT_CALL.encode(call),
            peer_codec.GRANT_REPLY.decode,
        )
        if reply is None:
            # The holder may have given the grant although its reply was
            # lost. Releasing it frees the slot before the grant expires.
            self._spawn(self._send_release(url, call))
            return grant.NotHolder()
        return reply.given or reply.denied or reply.not_holder

    async def _release(self, line: grant_ledger.LedgerLine) -> None:
        url = self._url_of(line.holder_id)
        if url is None:
            return
        call = peer_codec.GrantCall(runner_id=line.runner_id, asked=line.grant)
        await self._send_release(url, call)

    async def _send_release(
        self, url: str, call: peer_codec.GrantCall
    ) -> None:
        body = peer_codec.GRANT_CALL.encode(
            peer_codec.GrantCall(
                runner_id=call.runner_id, asked=call.asked, release=True
            )
        )
        for _ in range(MAX_HOPS):
            if await self._calls.post(url, 'grants', body) is not None:
                return

    def _spawn(
        self, work: typing.Coroutine[typing.Any, typing.Any, typing.Any]
    ) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
