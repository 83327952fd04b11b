"""The configuration revision that each entry host reports."""

import dataclasses

from limpetroute.border import peer_batch

MAX_HOSTS = 5000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HostReport:
    """An entry host's revision and the time of its last report.

    ``change`` is the value of the change counter of `HostReports` when this
    host's revision last changed.
    """

    number: int
    last_seen_s: float
    change: int = 0


class HostReports:
    """The revision of each entry host, reported here or to a peer.

    Parameters
    ----------
    live_s : float
        Time without a report after which a host counts as unresponsive.
    forget_s : float
        Time without a report after which a host is removed.
    """

    __slots__ = ('_forget_s', '_live_s', '_reports', 'changes')

    def __init__(self, *, live_s: float, forget_s: float) -> None:
        self._live_s = live_s
        self._forget_s = forget_s
        self._reports: dict[str, HostReport] = {}
        self.changes = 0

    def __repr__(self) -> str:
        return f'{type(self).__name__}(hosts={len(self._reports)!r})'

    def note(self, host_id: str, number: int, last_seen_s: float) -> None:
        """Record a report, unless a later one is already recorded."""
        old = self._reports.get(host_id)
        if old is None and len(self._reports) >= MAX_HOSTS:
            return
        if old is not None and last_seen_s < old.last_seen_s:
            return
        change = old.change if old is not None else 0
        if old is None or old.number != number:
            self.changes += 1
            change = self.changes
        self._reports[host_id] = HostReport(
            number=number, last_seen_s=last_seen_s, change=change
        )

    def expire(self, now_s: float) -> None:
        """Remove hosts without a report for ``forget_s``."""
        for host_id, report in list(self._reports.items()):
            if now_s - report.last_seen_s > self._forget_s:
                del self._reports[host_id]

    def behind(self, number: int) -> list[str]:
        """Return hosts whose last reported revision is below ``number``."""
        return sorted(
            host_id
            for host_id, report in self._reports.items()
            if report.number < number
        )

    def unresponsive(self, now_s: float) -> list[str]:
        """Return hosts without a report for ``live_s``."""
        return sorted(
            host_id
            for host_id, report in self._reports.items()
            if now_s - report.last_seen_s > self._live_s
        )

    def all(self) -> dict[str, HostReport]:
        """Return the last report of every host."""
        return dict(self._reports)

    def bodies(
        self, now_s: float, *, after_change: int = -1
    ) -> dict[str, peer_batch.HostReportBody]:
        """Return the reports to send to a peer, without unresponsive hosts.

        Parameters
        ----------
        now_s : float
            The clock of this process.
        after_change : int
            Only reports whose ``change`` is above this value are returned;
            by default, all are.
        """
        return {
            host_id: peer_batch.HostReportBody(
                number=report.number, age_s=now_s - report.last_seen_s
            )
            for host_id, report in self._reports.items()
            if report.change > after_change
            and now_s - report.last_seen_s <= self._live_s
        }

    def receive(
        self, bodies: dict[str, peer_batch.HostReportBody], now_s: float
    ) -> None:
        """Record the reports that a peer has sent."""
        for host_id, body in bodies.items():
            self.note(host_id, body.number, now_s - body.age_s)
