"""Grants that one lease holder has given at one runner."""

import dataclasses
import typing

from limpetroute.peers import grant
from limpetroute.peers import grant_config
from limpetroute.peers import runner_report

__all__ = ['GrantBook']


@dataclasses.dataclass(kw_only=True, slots=True)
class _HeldGrant:
    grant: grant.Grant
    until_s: float


class GrantBook:
    """Counts slots and KV memory of one runner under one lease.

    The reports of a runner lag, so several routers that each count for
    themselves would overfill it. Instead the lease holder alone counts
    its own grants and the runs that the runner reports without a grant.

    A new holder does not have the grants of the former one. Those
    without a started run end with the former lease, and started runs
    appear in every report measured after it. The book therefore grants
    nothing until it has such a report.

    Parameters
    ----------
    runner_id : str
        The runner.
    fence : int
        Fencing number of the lease.
    since_s : float
        When this host acquired the lease.
    config : GrantConfig
        Durations of the grants.
    """

    __slots__ = (
        '_config',
        '_held',
        '_released_s',
        '_report',
        '_settled',
        '_since_s',
        'fence',
        'moving',
        'runner_id',
    )

    def __init__(
        self,
        *,
        runner_id: str,
        fence: int,
        since_s: float,
        config: grant_config.GrantConfig,
    ) -> None:
        self.runner_id = runner_id
        self.fence = fence
        self.moving = False
        self._config = config
        self._since_s = since_s
        self._held: dict[str, _HeldGrant] = {}
        self._released_s: dict[str, float] = {}
        self._report: runner_report.RunnerReport | None = None
        self._settled = False

    def __repr__(self) -> str:
        return (
            f'{type(self).__name__}(runner_id={self.runner_id!r}, '
            f'fence={self.fence!r}, grants={len(self._held)!r})'
        )

    @property
    def grants(self) -> tuple[grant.Grant, ...]:
        """Grants that occupy capacity."""
        return tuple(item.grant for item in self._held.values())

    @property
    def settled(self) -> bool:
        """Whether all occupied capacity is accounted for."""
        return self._settled

    @property
    def free_slots(self) -> int:
        """Slots that can be granted now."""
        if self._report is None or not self._settled:
            return 0
        used = len(self._held) + len(self._ungranted_runs())
        return max(0, self._report.slots - used)

    @property
    def free_kv_bytes(self) -> int:
        """KV memory that can be granted now."""
        if self._report is None or not self._settled:
            return 0
        used = sum(item.grant.kv_bytes for item in self._held.values())
        if self._ungranted_runs():
            # The report gives no use for each run, so the whole reported
            # use is attributed to the runs without a grant.
            used += self._report.kv_used_bytes
        return max(0, self._report.kv_capacity_bytes - used)

    def take_over(
        self, grants: typing.Iterable[grant.Grant], now_s: float
    ) -> None:
        """Take over all grants of a holder that handed over its book."""
        for item in grants:
            self._store(item, now_s)
        self._settled = True

    def on_report(
        self, report: runner_report.RunnerReport, now_s: float
    ) -> None:
        """Apply a report of the runner, unless it is out of order."""
        old = self._report
        if old is not None and report.order <= old.order:
            return
        self._report = report
        if report.measured_s >= self._since_s:
            self._settled = True
        for run_id, released_s in list(self._released_s.items()):
            if report.measured_s > released_s:
                del self._released_s[run_id]
        self._expire(now_s)

    def acquire(
        self, asked: grant.Grant, now_s: float, *, lease_until_s: float
    ) -> grant.GrantGiven | grant.GrantDenied:
        """Grant capacity, or renew a grant.

        Parameters
        ----------
        asked : Grant
            The grant asked for; a known ``work_id`` makes it a renewal.
        now_s : float
            Now.
        lease_until_s : float
            End of the lease; no grant may be used after it.
        """
        if asked.work_id not in self._held:
            denied = self._denial(asked)
            if denied is not None:
                return denied
        self._store(asked, now_s)
        valid_s = min(self._config.valid_s, lease_until_s - now_s)
        return grant.GrantGiven(fence=self.fence, valid_s=valid_s)

    def reclaim(
        self, asked: grant.Grant, now_s: float, *, lease_until_s: float
    ) -> grant.GrantGiven | grant.GrantDenied:
        """Re-register a grant that an earlier holder gave.

        A run that the runner already reports is registered without a
        check. A run that was not started needs free capacity, like any
        new grant.
        """
        report = self._report
        if report is not None and asked.run_id in report.runs:
            self._store(asked, now_s)
        return self.acquire(asked, now_s, lease_until_s=lease_until_s)

    def release(self, work_id: str, now_s: float) -> None:
        """Release the capacity of a request; idempotent."""
        held = self._held.pop(work_id, None)
        if held is not None:
            self._released_s[held.grant.run_id] = now_s

    def _denial(self, asked: grant.Grant) -> grant.GrantDenied | None:
        if self.moving:
            return grant.GrantDenied(free_slots=0, reason='moving')
        if not self._settled or self._report is None:
            return grant.GrantDenied(free_slots=0, reason='settling')
        if self._report.leaving:
            return grant.GrantDenied(free_slots=0, reason='leaving')
        if self.free_slots < 1 or self.free_kv_bytes < asked.kv_bytes:
            return grant.GrantDenied(free_slots=self.free_slots)
        return None

    def _store(self, item: grant.Grant, now_s: float) -> None:
        config = self._config
        held_s = config.valid_s * (1 + 2 * config.drift)
        held_s += config.report_delay_s
        self._held[item.work_id] = _HeldGrant(
            grant=item, until_s=now_s + held_s
        )

    def _ungranted_runs(self) -> list[str]:
        assert self._report is not None
        granted = {item.grant.run_id for item in self._held.values()}
        # A report may have been measured before a run's grant was
        # released. Counting that run again would keep its slot occupied
        # for one more heartbeat after each answer.
        return [
            run_id
            for run_id in self._report.runs
            if run_id not in granted and run_id not in self._released_s
        ]

    def _expire(self, now_s: float) -> None:
        assert self._report is not None
        for work_id, held in list(self._held.items()):
            if held.until_s > now_s:
                continue
            if self._report.measured_s <= held.until_s:
                continue
            if held.grant.run_id in self._report.runs:
                continue
            del self._held[work_id]
