"""What one lease holder has granted at one runner."""

import dataclasses
import typing

from limpetroute.peers import grant
from limpetroute.peers import grant_config
from limpetroute.peers import runner_report

__all__ = ['GrantBook']


@dataclasses.dataclass(kw_only=True, slots=True)
class _Held:
    grant: grant.Grant
    until_s: float


class GrantBook:
    """Counts slots and KV memory of one runner under one lease.

    Several routers that each count for themselves overfill a runner,
    as its reports lag. Here one host counts: its own grants, and runs
    that the runner reports and no grant accounts for.

    A new holder does not know what the old one granted. The old
    lease's end ends the grants that no run was started for, and what
    was started is in every report measured after it; so the book gives
    nothing before it has such a report.

    Parameters
    ----------
    runner_id : str
        The runner.
    fence : int
        Fencing number of the lease.
    since_s : float
        When this host got the lease.
    config : GrantConfig
        Times.
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
        self._held: dict[str, _Held] = {}
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
        """All grants that count."""
        return tuple(item.grant for item in self._held.values())

    @property
    def settled(self) -> bool:
        """Whether the count can be relied on."""
        return self._settled

    @property
    def free_slots(self) -> int:
        """Slots that can be granted now."""
        if self._report is None or not self._settled:
            return 0
        used = len(self._held) + len(self._unknown_runs())
        return max(0, self._report.slots - used)

    @property
    def free_kv_bytes(self) -> int:
        """KV memory that can be granted now."""
        if self._report is None or not self._settled:
            return 0
        used = sum(item.grant.kv_bytes for item in self._held.values())
        if self._unknown_runs():
            # Their share of the use is not reported: take it all.
            used += self._report.kv_used_bytes
        return max(0, self._report.kv_capacity_bytes - used)

    def take_over(
        self, grants: typing.Iterable[grant.Grant], now_s: float
    ) -> None:
        """Take over the book of a holder that handed it over whole."""
        for item in grants:
            self._keep(item, now_s)
        self._settled = True

    def on_report(
        self, report: runner_report.RunnerReport, now_s: float
    ) -> None:
        """Take a runner's report."""
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
        """Grant room, or renew what was granted.

        Parameters
        ----------
        asked : Grant
            What is wanted; the same ``work_id`` again is a renewal.
        now_s : float
            Now.
        lease_until_s : float
            End of the lease: no grant may be used past it.
        """
        if asked.work_id not in self._held:
            denied = self._deny(asked)
            if denied is not None:
                return denied
        self._keep(asked, now_s)
        valid_s = min(self._config.valid_s, lease_until_s - now_s)
        return grant.GrantGiven(fence=self.fence, valid_s=valid_s)

    def reclaim(
        self, asked: grant.Grant, now_s: float, *, lease_until_s: float
    ) -> grant.GrantGiven | grant.GrantDenied:
        """Take note of a grant of an earlier holder.

        A run already on the runner is only given its name in the book
        back; one that was not started needs room as any other.
        """
        report = self._report
        if report is not None and asked.run_id in report.runs:
            self._keep(asked, now_s)
        return self.acquire(asked, now_s, lease_until_s=lease_until_s)

    def release(self, work_id: str, now_s: float) -> None:
        """Give room back; idempotent."""
        held = self._held.pop(work_id, None)
        if held is not None:
            self._released_s[held.grant.run_id] = now_s

    def _deny(self, asked: grant.Grant) -> grant.GrantDenied | None:
        if self.moving:
            return grant.GrantDenied(free_slots=0, reason='moving')
        if not self._settled or self._report is None:
            return grant.GrantDenied(free_slots=0, reason='settling')
        if self._report.leaving:
            return grant.GrantDenied(free_slots=0, reason='leaving')
        if self.free_slots < 1 or self.free_kv_bytes < asked.kv_bytes:
            return grant.GrantDenied(free_slots=self.free_slots)
        return None

    def _keep(self, item: grant.Grant, now_s: float) -> None:
        config = self._config
        keep_s = config.valid_s * (1 + 2 * config.drift)
        keep_s += config.report_delay_s
        self._held[item.work_id] = _Held(grant=item, until_s=now_s + keep_s)

    def _unknown_runs(self) -> list[str]:
        assert self._report is not None
        known = {item.grant.run_id for item in self._held.values()}
        # A report may have been measured before a run's room was given
        # back; counted again there, each answer would cost its slot for
        # one more heartbeat.
        return [
            run_id
            for run_id in self._report.runs
            if run_id not in known and run_id not in self._released_s
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
