"""Watches whether this host reaches runners at all."""

import asyncio
import logging
import random

from limpetroute.forwarding import fleet_view
from limpetroute.routing import runner_info
from limpetroute.routing import runner_reachability
from limpetroute.wire import connection

LOG = logging.getLogger(__name__)

CONNECT_TRIES_S = (0.1,)
# Time between two probes of a host that reaches no runner.
PROBE_INTERVAL_S = 0.25
# Other runners that are probed before a refused connection is taken for a
# crash.
MAX_WITNESSES = 2


class RunnerLinks:
    """Watches whether this host reaches runners at all.

    While it does not, a few runners at a time are probed with connections, so
    that the end of the outage is noticed without a request.

    Parameters
    ----------
    view : FleetView
        The known runners.
    rng : random.Random
        Chooses the runners to probe.
    """

    def __init__(
        self, *, view: fleet_view.FleetView, rng: random.Random
    ) -> None:
        self._view = view
        self._rng = rng
        self._reachability = runner_reachability.RunnerReachability()
        self._task: asyncio.Task[None] | None = None
        self._cut_off_since_s = 0.0
        self._verification: asyncio.Task[None] | None = None

    def __repr__(self) -> str:
        return f'{type(self).__name__}({self._reachability!r})'

    @property
    def are_cut(self) -> bool:
        """Whether this host seems to reach no runner."""
        return self._reachability.has_failures and (
            self._reachability.is_cut_off(len(self._view.ready_runners()))
        )

    def note_connected(self) -> None:
        """Record that a runner accepted a connection."""
        self._reachability.note_connected()
        if self._task is not None:
            self._task.cancel()
            self._end_outage()

    def note_failed(self, runner: runner_info.RunnerInfo) -> None:
        """Record that a runner accepted no connection."""
        self._reachability.note_failed(runner.address)
        if self._task is not None or not self.are_cut:
            return
        self._cut_off_since_s = _now_s()
        LOG.warning(
            'no runner reachable',
            extra={
                'runners': len(self._view.ready_runners()),
                'last': runner.address,
            },
        )
        self._task = asyncio.create_task(self._probe_until_connected())

    async def verify(self) -> None:
        """Find out whether runners are reachable after a send that failed.

        Sends that fail at the same time share the probes.
        """
        if self.are_cut:
            return
        if self._verification is None:
            self._verification = asyncio.create_task(self._verify())
            self._verification.add_done_callback(self._end_verification)
        await asyncio.shield(self._verification)

    async def reaches_another(self, runner: runner_info.RunnerInfo) -> bool:
        """Return whether this host reaches runners besides the given one.

        It is also true if there is no other runner to try.
        """
        others = [
            one
            for one in self._view.ready_runners()
            if one.address != runner.address
        ]
        if not others:
            return True
        witnesses = self._rng.sample(others, min(MAX_WITNESSES, len(others)))
        return await _any_accepts(witnesses)

    def stop(self) -> None:
        """Stop probing."""
        if self._task is not None:
            self._task.cancel()
            self._task = None

    async def _verify(self) -> None:
        probed = self._choose_probed()
        if await _any_accepts(probed):
            self.note_connected()
            return
        for one in probed:
            self.note_failed(one)

    def _choose_probed(self) -> list[runner_info.RunnerInfo]:
        runners = self._view.ready_runners()
        count = min(runner_reachability.MIN_UNREACHABLE, len(runners))
        return self._rng.sample(runners, count)

    def _end_verification(self, task: asyncio.Task[None]) -> None:
        self._verification = None

    async def _probe_until_connected(self) -> None:
        while self.are_cut:
            await asyncio.sleep(PROBE_INTERVAL_S)
            if await _any_accepts(self._choose_probed()):
                self._reachability.note_connected()
        self._end_outage()

    def _end_outage(self) -> None:
        self._task = None
        outage_s = _now_s() - self._cut_off_since_s
        LOG.info(
            'runners reachable again',
            extra={'outage_ms': round(outage_s * 1000)},
        )


async def _any_accepts(runners: list[runner_info.RunnerInfo]) -> bool:
    """Return whether one of the runners accepts a connection."""
    return any(await asyncio.gather(*(_accepts(one) for one in runners)))


async def _accepts(runner: runner_info.RunnerInfo) -> bool:
    """Return whether a runner accepts a connection."""
    link = connection.Connection(host=runner.host, port=runner.port)
    try:
        return await link.connect(CONNECT_TRIES_S) is None
    finally:
        link.close()


def _now_s() -> float:
    return asyncio.get_running_loop().time()
