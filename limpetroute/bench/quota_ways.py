"""Ways in which hosts and a leader can keep quotas together."""

import dataclasses
import typing

from limpetroute.routing import host_quotas
from limpetroute.routing import team as team_module
from limpetroute.routing import team_quotas

# Time for which a host may use leased units, and their number by what the
# request needs.
LEASE_S = 2.0
LEASE_FACTOR = 5.0


class Way(typing.Protocol):
    """How a host decides on plain requests."""

    calls: int

    def admit(
        self,
        host: int,
        name: str,
        cost: float,
        now_s: float,
        leader: team_quotas.TeamQuotas,
    ) -> tuple[bool, float]:
        """Return whether a request runs, and how long its caller waits."""

    def tick(self, now_s: float, leader: team_quotas.TeamQuotas) -> None:
        """Do what is due at a host, such as reports."""


class LeaderDecides:
    """Each request is decided by the leader.

    Parameters
    ----------
    delay_s : float
        One-way delay to the leader.
    """

    def __init__(self, *, delay_s: float) -> None:
        self.calls = 0
        self._delay_s = delay_s

    def admit(
        self,
        host: int,
        name: str,
        cost: float,
        now_s: float,
        leader: team_quotas.TeamQuotas,
    ) -> tuple[bool, float]:
        """Ask the leader."""
        self.calls += 1
        return leader.admit(name, cost, now_s).allowed, 2 * self._delay_s

    def tick(self, now_s: float, leader: team_quotas.TeamQuotas) -> None:
        """Do nothing."""


@dataclasses.dataclass(kw_only=True, slots=True)
class _Lease:
    units: float
    expires_s: float


class Leases:
    """Hosts hold leased units, and ask for more when they run out.

    Parameters
    ----------
    delay_s : float
        One-way delay to the leader.
    """

    def __init__(self, *, delay_s: float) -> None:
        self.calls = 0
        self._delay_s = delay_s
        self._leases: dict[tuple[int, str], _Lease] = {}

    def admit(
        self,
        host: int,
        name: str,
        cost: float,
        now_s: float,
        leader: team_quotas.TeamQuotas,
    ) -> tuple[bool, float]:
        """Use the lease, or ask for one."""
        lease = self._leases.get((host, name))
        if lease is not None and lease.units >= cost:
            lease.units -= cost
            return True, 0.0
        self.calls += 1
        units = cost * LEASE_FACTOR
        if not leader.admit(name, units, now_s).allowed:
            return False, 2 * self._delay_s
        left = lease.units if lease is not None else 0.0
        self._leases[host, name] = _Lease(
            units=left + units - cost, expires_s=now_s + LEASE_S
        )
        return True, 2 * self._delay_s

    def tick(self, now_s: float, leader: team_quotas.TeamQuotas) -> None:
        """Return leases that expired."""
        for key, lease in list(self._leases.items()):
            if now_s < lease.expires_s:
                continue
            del self._leases[key]
            if lease.units:
                self.calls += 1
                leader.charge(key[1], -lease.units, now_s)


class Reports:
    """Hosts let requests run on credit and report what they used.

    Parameters
    ----------
    hosts : list of HostQuotas
        The decisions of each host.
    quota : callable
        Returns a team's quota in force.
    """

    def __init__(
        self,
        *,
        hosts: typing.Sequence[host_quotas.HostQuotas],
        quota: typing.Callable[[str], team_module.Quota],
    ) -> None:
        self.calls = 0
        self._hosts = hosts
        self._quota = quota
        self._due_s: dict[int, float] = {}

    def admit(
        self,
        host: int,
        name: str,
        cost: float,
        now_s: float,
        leader: team_quotas.TeamQuotas,
    ) -> tuple[bool, float]:
        """Decide at the host."""
        verdict = self._hosts[host].admit_with_leader(
            name, self._quota(name), cost, now_s
        )
        self.schedule(host, now_s)
        return verdict.allowed, 0.0

    def schedule(self, host: int, now_s: float) -> None:
        """Set when the host reports next."""
        delay_s = self._hosts[host].report_delay_s(now_s)
        if delay_s is not None:
            due_s = self._due_s.get(host, now_s + delay_s)
            self._due_s[host] = min(due_s, now_s + delay_s)

    def tick(self, now_s: float, leader: team_quotas.TeamQuotas) -> None:
        """Send the reports that are due."""
        for host, due_s in list(self._due_s.items()):
            if now_s < due_s:
                continue
            del self._due_s[host]
            self.calls += 1
            spent = self._hosts[host].take_unreported(now_s)
            for name, units in spent.items():
                leader.charge(name, units, now_s)
            levels = {name: leader.level(name, now_s) for name in spent}
            self._hosts[host].note_levels(levels, now_s)
            self._hosts[host].note_low_teams(leader.low(now_s), now_s)
