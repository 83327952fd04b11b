"""The other entry hosts, and which of them to pass a request to."""

import dataclasses
import enum
import math
import random
import typing

# Time for which a host that failed or declined is passed over. A lost link
# lasts for seconds; a host that has stopped is dropped from the list later.
AVOID_S = 1.0
# Time for which a host that failed or declined is asked after all others. The
# hosts of a large fleet ask each other less than once a second.
DISTRUST_S = 10.0
# Time for which a host is kept that is not listed any more. A new leader
# lists all hosts only once each of them has reported to it.
KEEP_S = 30.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PeerHost:
    """Another entry host, and where it accepts requests of entry hosts."""

    host_id: str
    zone: str
    url: str


class _Standing(enum.IntEnum):
    """What a host did with the last request, in the order of preference."""

    SERVED = 0
    UNKNOWN = 1
    DECLINED = 2


@dataclasses.dataclass(kw_only=True, slots=True)
class _Entry:
    host: PeerHost
    listed_s: float
    avoid_until_s: float = -math.inf
    distrust_until_s: float = -math.inf
    has_served: bool = False
    requests: int = 0

    def standing(self, now_s: float) -> _Standing:
        if now_s < self.distrust_until_s:
            return _Standing.DECLINED
        return _Standing.SERVED if self.has_served else _Standing.UNKNOWN


class PeerDirectory:
    """The other entry hosts, and which of them to pass a request to.

    Parameters
    ----------
    host_id : str
        Identity of this host, which is never chosen.
    zone : str
        Availability zone of this host.
    rng : random.Random
        Breaks ties.
    """

    __slots__ = ('_entries', '_host_id', '_rng', '_zone')

    def __init__(self, *, host_id: str, zone: str, rng: random.Random) -> None:
        self._host_id = host_id
        self._zone = zone
        self._rng = rng
        self._entries: dict[str, _Entry] = {}

    def __repr__(self) -> str:
        return f'{type(self).__name__}(hosts={len(self._entries)!r})'

    def update(self, hosts: typing.Iterable[PeerHost], now_s: float) -> None:
        """Record the hosts that the leader lists."""
        for host in hosts:
            if host.host_id == self._host_id:
                continue
            entry = self._entries.get(host.host_id)
            if entry is None or entry.host != host:
                entry = _Entry(host=host, listed_s=now_s)
                self._entries[host.host_id] = entry
            entry.listed_s = now_s
        for host_id, entry in list(self._entries.items()):
            if now_s - entry.listed_s > KEEP_S:
                del self._entries[host_id]

    def choose(
        self, *, tried: typing.Collection[str], now_s: float
    ) -> PeerHost | None:
        """Return the host to pass a request to, or None.

        It is the one with the fewest requests of this host. Where several
        have as few, it is one that served the last request, then one of a
        zone that was not tried, then one of the same zone: a zone may lose
        its links to runners as a whole.
        """
        tried_zones = {
            entry.host.zone
            for entry in self._entries.values()
            if entry.host.host_id in tried
        }
        usable = [
            entry
            for entry in self._entries.values()
            if entry.avoid_until_s <= now_s and entry.host.host_id not in tried
        ]
        if not usable:
            return None
        best = min(
            usable,
            key=lambda entry: (
                entry.requests,
                entry.standing(now_s),
                entry.host.zone in tried_zones,
                entry.host.zone != self._zone,
                self._rng.random(),
            ),
        )
        return best.host

    @property
    def has_hosts(self) -> bool:
        """Whether another host is known, also one that is passed over."""
        return bool(self._entries)

    def avoid(self, host_id: str, now_s: float) -> None:
        """Pass over a host for a while."""
        entry = self._entries.get(host_id)
        if entry is not None:
            entry.avoid_until_s = now_s + AVOID_S
            entry.distrust_until_s = now_s + DISTRUST_S
            entry.has_served = False

    def note_served(self, host_id: str) -> None:
        """Record that a host took a request."""
        entry = self._entries.get(host_id)
        if entry is not None:
            entry.distrust_until_s = -math.inf
            entry.has_served = True

    def begin(self, host_id: str) -> None:
        """Count a request that is passed to a host."""
        entry = self._entries.get(host_id)
        if entry is not None:
            entry.requests += 1

    def end(self, host_id: str) -> None:
        """Count the end of a request that was passed to a host."""
        entry = self._entries.get(host_id)
        if entry is not None:
            entry.requests = max(0, entry.requests - 1)
