"""Finds the entry host that holds a request."""

import asyncio
import random
import typing

from limpetroute.entry.peering import peer_calls
from limpetroute.entry.peering import peer_clock
from limpetroute.entry.peering import peer_codec
from limpetroute.entry.peering import peer_copies
from limpetroute.entry.records import record_store

CLAIM_S = 5.0
CLAIM_TRIES = 20
CLAIM_PAUSE_S = 0.05
TAKEOVER_POLL_S = 0.25


class PeerLookup:
    """Looks up requests on all hosts, and serializes starts under a key.

    If two hosts receive the same key at once, each records its claim
    before it asks the others. At least one of them then sees the
    other's claim, withdraws its own and looks the key up again.

    Parameters
    ----------
    host_id : str
        This host.
    records : RecordStore
        Records of this host.
    copies : PeerCopies
        Copies of other hosts' records, and this host's name as an owner.
    calls : PeerCalls
        Calls to other hosts.
    urls : callable
        Returns the addresses of the other hosts, by id.
    """

    __slots__ = (
        '_calls',
        '_claims',
        '_copies',
        '_host_id',
        '_records',
        '_urls',
    )

    def __init__(
        self,
        *,
        host_id: str,
        records: record_store.RecordStore,
        copies: peer_copies.PeerCopies,
        calls: peer_calls.PeerCalls,
        urls: typing.Callable[[], dict[str, str]],
    ) -> None:
        self._host_id = host_id
        self._records = records
        self._copies = copies
        self._calls = calls
        self._urls = urls
        self._claims: dict[tuple[str, str], float] = {}

    def __repr__(self) -> str:
        return f'{type(self).__name__}(host_id={self._host_id!r})'

    def answer(self, call: peer_codec.LookupCall) -> peer_codec.LookupReply:
        """Return this host's reply to a lookup."""
        owner = self._copies.owner
        if self._is_held(call):
            return peer_codec.LookupReply(held=True, owner=owner)
        claimed_by = ''
        if call.key and self._is_claimed(call):
            claimed_by = self._host_id
        copied_from = self._copied_from(call)
        return peer_codec.LookupReply(
            copied=copied_from is not None,
            claimed_by=claimed_by,
            owner=owner,
            copied_from=copied_from or '',
        )

    async def find(
        self, call: peer_codec.LookupCall, *, timeout_s: float
    ) -> tuple[str | None, bool]:
        """Find the host that holds a request.

        Waits at most ``timeout_s`` while a copy is being taken over, or
        while a host that may hold the request does not reply.

        Returns
        -------
        (str or None, bool)
            The holder's id, and whether the request is unresolved: a
            copy exists whose owner is gone and that no host has taken
            over, or a host did not reply.
        """
        deadline_s = peer_clock.clock_s() + timeout_s
        while True:
            if self._is_held(call):
                return self._host_id, False
            replies = await self._ask_all(call)
            for host_id, reply in replies.items():
                if reply.held:
                    return host_id, False
            silent = self._urls().keys() - replies.keys()
            if not silent and not self._is_copied(call, replies):
                return None, False
            if peer_clock.clock_s() >= deadline_s:
                return None, True
            await asyncio.sleep(TAKEOVER_POLL_S)

    async def claim(
        self, team: str, key: str, *, timeout_s: float
    ) -> tuple[str | None, bool]:
        """Find the holder of a key, or claim it for a new request.

        Returns
        -------
        (str or None, bool)
            As `find`. (None, False) means that this host has claimed
            the key and may start the request; `settle` ends the claim.
        """
        claim_key = (team, key)
        call = peer_codec.LookupCall(
            team=team, key=key, claimant=self._host_id
        )
        for _ in range(CLAIM_TRIES):
            if claim_key in self._claims:
                # Another connection to this host claims the same key.
                await asyncio.sleep(CLAIM_PAUSE_S)
                if self._is_held(call):
                    return self._host_id, False
                continue
            if self._is_held(call):
                return self._host_id, False
            self._claims[claim_key] = peer_clock.clock_s() + CLAIM_S
            replies = await self._ask_all(call)
            held = [name for name, got in replies.items() if got.held]
            if held:
                self.settle(team, key)
                return held[0], False
            if self._is_copied(call, replies):
                self.settle(team, key)
                return await self.find(call, timeout_s=timeout_s)
            if not any(got.claimed_by for got in replies.values()):
                return None, False
            self.settle(team, key)
            await asyncio.sleep(CLAIM_PAUSE_S * (0.5 + random.random()))
        return None, True

    def settle(self, team: str, key: str) -> None:
        """End a claim, after its record exists or its start failed."""
        self._claims.pop((team, key), None)

    async def _ask_all(
        self, call: peer_codec.LookupCall
    ) -> dict[str, peer_codec.LookupReply]:
        urls = self._urls()
        body = peer_codec.LOOKUP_CALL.encode(call)
        calls = [
            self._calls.post_and_decode(
                url, 'lookup', body, peer_codec.LOOKUP_REPLY.decode
            )
            for url in urls.values()
        ]
        replies = await asyncio.gather(*calls)
        return {
            host_id: reply
            for host_id, reply in zip(urls, replies, strict=True)
            if reply is not None
        }

    def _is_held(self, call: peer_codec.LookupCall) -> bool:
        records = self._records
        if call.request_id:
            return records.by_id(call.team, call.request_id) is not None
        if call.run_id:
            return records.by_run(call.team, call.run_id) is not None
        return records.by_key(call.team, call.key) is not None

    def _copied_from(self, call: peer_codec.LookupCall) -> str | None:
        name = call.request_id or call.run_id or call.key
        copied = self._copies.copies.find(call.team, name)
        return None if copied is None else copied.owner

    def _is_copied(
        self,
        call: peer_codec.LookupCall,
        replies: typing.Mapping[str, peer_codec.LookupReply],
    ) -> bool:
        """Whether a copy exists whose owner may be gone.

        An owner that replies no longer has the request. A host that was
        its successor before may still have the copy.
        """
        owners = {self._copies.owner}
        owners.update(got.owner for got in replies.values() if got.owner)
        found = [got.copied_from for got in replies.values() if got.copied]
        copied_from = self._copied_from(call)
        if copied_from is not None:
            found.append(copied_from)
        return any(owner not in owners for owner in found)

    def _is_claimed(self, call: peer_codec.LookupCall) -> bool:
        expires_s = self._claims.get((call.team, call.key))
        if expires_s is None:
            return False
        if expires_s <= peer_clock.clock_s():
            del self._claims[call.team, call.key]
            return False
        return True
