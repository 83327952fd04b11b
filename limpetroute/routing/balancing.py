"""Determines whether hosts share their view of the runners' load."""

import enum

from limpetroute.routing import scheduling_terms

# Capacities that differ less are those of hosts of one kind.
UNEVEN_RATIO = 1.5
# Time for which a host's report counts. Hosts report every 2 s.
HOST_VALID_S = 10.0
# Time for which a priority counts after the last stream that had it. Kinds of
# requests with a few streams a minute keep their effect.
PRIORITY_VALID_S = 60.0
MAX_HOSTS = 5000


class BalancingMode(enum.StrEnum):
    """Whether hosts share their view of the runners' load."""

    AUTO = 'auto'
    SHARED = 'shared'
    LOCAL = 'local'


class Balancing:
    """Determines whether hosts share their view of the runners' load.

    Pattern: hosts of different sizes take different shares of the requests,
    or urgent streams compete with patient ones. In a fleet of equal hosts and
    with requests of one priority, a host's own counts stand for those of the
    others, and sharing them would only cost messages.

    Parameters
    ----------
    mode : BalancingMode
        ``AUTO`` shares where hosts or priorities differ.
    """

    def __init__(self, *, mode: BalancingMode = BalancingMode.AUTO) -> None:
        self._mode = mode
        # Cores and time of the last report, by host.
        self._hosts: dict[str, tuple[float, float]] = {}
        # Time of the last stream, by service and priority.
        self._priorities: dict[str, dict[int, float]] = {}

    def __repr__(self) -> str:
        return f'{type(self).__name__}(mode={self._mode!r})'

    def note_host(self, host_id: str, cores: float, now_s: float) -> None:
        """Record the processor capacity of an entry host, in cores."""
        if host_id not in self._hosts and len(self._hosts) >= MAX_HOSTS:
            self._drop_old_hosts(now_s)
            if len(self._hosts) >= MAX_HOSTS:
                return
        self._hosts[host_id] = (cores, now_s)

    def note_stream(self, service: str, priority: int, now_s: float) -> None:
        """Record the priority of a stream's route."""
        self._priorities.setdefault(service, {})[priority] = now_s

    def is_shared(self, now_s: float) -> bool:
        """Return whether hosts share their view of the load."""
        if self._mode is not BalancingMode.AUTO:
            return self._mode is BalancingMode.SHARED
        return self._is_uneven(now_s) or any(
            self._has_priorities(service, now_s)
            for service in self._priorities
        )

    @property
    def leases_plain_slots(self) -> bool:
        """Return whether the leader leases slots of plain runners.

        Only where the setting asks for it: under the heaviest load, leases
        refuse requests that runners could still queue.
        """
        return self._mode is BalancingMode.SHARED

    def terms(
        self, service: str, now_s: float
    ) -> scheduling_terms.SchedulingTerms:
        """Return which decisions are in effect for a service."""
        return scheduling_terms.SchedulingTerms(
            is_shared=self.is_shared(now_s),
            has_ranks=self._mode is not BalancingMode.LOCAL
            and self._has_priorities(service, now_s),
        )

    def _is_uneven(self, now_s: float) -> bool:
        cores = [
            cores
            for cores, seen_s in self._hosts.values()
            if now_s - seen_s <= HOST_VALID_S
        ]
        return bool(cores) and max(cores) >= UNEVEN_RATIO * min(cores)

    def _has_priorities(self, service: str, now_s: float) -> bool:
        seen = self._priorities.get(service, {})
        return (
            sum(now_s - at_s <= PRIORITY_VALID_S for at_s in seen.values()) > 1
        )

    def _drop_old_hosts(self, now_s: float) -> None:
        self._hosts = {
            host_id: known
            for host_id, known in self._hosts.items()
            if now_s - known[1] <= HOST_VALID_S
        }
