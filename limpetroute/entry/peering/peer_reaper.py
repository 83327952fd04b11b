"""Ends runs that no entry host claims, on runners leased by this host."""

import asyncio
import logging
import typing

from limpetroute.entry.peering import peer_calls
from limpetroute.entry.peering import peer_clock
from limpetroute.entry.peering import peer_codec
from limpetroute.peers import copy_holder
from limpetroute.peers import grant_coordinator
from limpetroute.peers import member_view
from limpetroute.peers import reaper
from limpetroute.runners import engine_pool

LOG = logging.getLogger(__name__)

CANCEL_TIMEOUT_S = 2.0


class PeerReaper:
    """Asks every host for the runs it claims, and ends unclaimed runs.

    Parameters
    ----------
    coordinator : GrantCoordinator
        Provides the runners' reports and lease holders.
    calls : PeerCalls
        Calls to other hosts.
    engines : EnginePool
        Clients of the runners.
    own_runs : callable
        Returns the runs that this host claims.
    copies : CopyHolder
        Copies of other hosts' records.
    grace_s : float
        Time without a claim after which a run is ended.
    """

    __slots__ = (
        '_calls',
        '_copies',
        '_coordinator',
        '_engines',
        '_own_runs',
        '_reaper',
        'reaped',
    )

    def __init__(
        self,
        *,
        coordinator: grant_coordinator.GrantCoordinator,
        calls: peer_calls.PeerCalls,
        engines: engine_pool.EnginePool,
        own_runs: typing.Callable[[], set[str]],
        copies: copy_holder.CopyHolder,
        grace_s: float,
    ) -> None:
        self._coordinator = coordinator
        self._calls = calls
        self._engines = engines
        self._own_runs = own_runs
        self._copies = copies
        self._reaper = reaper.Reaper(grace_s=grace_s)
        self.reaped = 0

    def __repr__(self) -> str:
        return f'{type(self).__name__}(reaped={self.reaped!r})'

    def claims(self, runs: typing.Iterable[str]) -> tuple[str, ...]:
        """Return which of the runs this host claims.

        Runs of copied records count as claimed: the owner may be gone
        and this host may be about to resume the run.
        """
        claimed = self._own_runs() | self._copies.open_runs()
        return tuple(run_id for run_id in runs if run_id in claimed)

    async def check(self, view: member_view.MemberView) -> None:
        """End unclaimed runs on the runners that this host leases."""
        now_s = peer_clock.clock_s()
        reports = [
            report
            for report in self._coordinator.reports()
            if report.runs and self._coordinator.holds(report.runner_id, now_s)
        ]
        runs = sorted({run for report in reports for run in report.runs})
        if not runs:
            return
        claimed, unsure = await self._ask_all(runs, view)
        now_s = peer_clock.clock_s()
        for report in reports:
            due = self._reaper.check(
                runner_id=report.runner_id,
                incarnation=report.incarnation,
                runs=report.runs,
                claimed=claimed,
                unsure=unsure,
                now_s=now_s,
            )
            if self._coordinator.holds(report.runner_id, now_s):
                await self._end(report.runner_id, due)

    async def _ask_all(
        self, runs: list[str], view: member_view.MemberView
    ) -> tuple[set[str], bool]:
        body = peer_codec.CLAIMS_CALL.encode(
            peer_codec.ClaimsCall(runs=tuple(runs))
        )
        own_id = view.claims[0].host_id
        gone_ids = set(view.gone)
        calls = [
            self._calls.post_and_decode(
                item.url, 'claims', body, peer_codec.CLAIMS_REPLY.decode
            )
            for item in view.claims
            if item.host_id != own_id and item.host_id not in gone_ids
        ]
        replies = await asyncio.gather(*calls)
        claimed = set(self.claims(runs))
        for reply in replies:
            if reply is not None:
                claimed.update(reply.claimed)
        return claimed, any(reply is None for reply in replies)

    async def _end(self, runner_id: str, runs: list[str]) -> None:
        engine = self._engines.get(runner_id)
        if engine is None:
            return
        for run_id in runs:
            LOG.warning(
                'ending run %s on %s: no host claims it', run_id, runner_id
            )
            if await engine.cancel(run_id, timeout_s=CANCEL_TIMEOUT_S):
                self.reaped += 1
