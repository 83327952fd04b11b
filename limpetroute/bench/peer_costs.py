"""Bytes and processor time of membership and leases, in memory.

Plays the protocol code of many hosts on a virtual clock, with its real
encoding, and adds what HTTP and TCP put around each call. Run it with
``python -m limpetroute.bench.peer_costs``.
"""

import collections
import dataclasses
import heapq
import json
import random
import sys
import time

from limpetroute.peers import grant_config
from limpetroute.peers import grant_coordinator
from limpetroute.peers import lease_codec
from limpetroute.peers import lease_config
from limpetroute.peers import lease_message
from limpetroute.peers import member_claim
from limpetroute.peers import member_codec
from limpetroute.peers import membership
from limpetroute.peers import membership_config
from limpetroute.peers import runner_report

TICK_S = 0.1
DELAY_S = 0.002
WARM_UP_S = 30.0
# Captured from one call on loopback: request and reply headers with a
# 43-character token, and the packets of one connection.
HTTP_BYTES = 284
TCP_BYTES = 520


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PeerCost:
    """Cost of one host a second, mean and worst over the hosts."""

    hosts: int
    voters: int
    runners: int
    calls_per_s: float
    body_bytes_per_s: float
    all_bytes_per_s: float
    worst_all_bytes_per_s: float
    cpu_share: float


class PeerCosts:
    """Plays the hosts.

    Parameters
    ----------
    hosts, voters, runners : int
        How many of each.
    probe_period_s, renew_s, lease_s : float
        Periods.
    """

    def __init__(
        self,
        *,
        hosts: int,
        voters: int,
        runners: int,
        probe_period_s: float = 2.0,
        renew_s: float = 2.0,
        lease_s: float = 6.0,
    ) -> None:
        self._names = [f'host-{number:03d}' for number in range(hosts)]
        self._voters = self._names[:voters]
        self._runners = runners
        self._now_s = 0.0
        self._bytes: collections.Counter[str] = collections.Counter()
        self._calls: collections.Counter[str] = collections.Counter()
        self._queue: list[tuple[float, int, str, bytes]] = []
        self._order = 0
        self._members = {
            name: membership.Membership(
                claim=member_claim.MemberClaim(
                    host_id=name,
                    url=_url(name),
                    zone=f'zone-{place % 24}',
                    incarnation=1_700_000_000_000,
                ),
                seeds=[_url(seed) for seed in self._names[:3]],
                config=membership_config.MembershipConfig(
                    probe_period_s=probe_period_s
                ),
                rng=random.Random(place),
            )
            for place, name in enumerate(self._names)
        }
        leases = lease_config.LeaseConfig(duration_s=lease_s, renew_s=renew_s)
        self._desks = {
            name: grant_coordinator.GrantCoordinator(
                host_id=name,
                zone=f'zone-{place % 24}',
                voters=self._voters,
                leases=leases,
                grants=grant_config.GrantConfig(),
                started_s=-lease_s,
            )
            for place, name in enumerate(self._names)
        }

    def run(self, seconds: float) -> PeerCost:
        """Warm up, then play for a time and return the cost."""
        self._place_runners()
        self._play(WARM_UP_S)
        self._bytes.clear()
        self._calls.clear()
        began_s = time.process_time()
        self._play(seconds)
        spent_s = time.process_time() - began_s
        hosts = len(self._names)
        around = HTTP_BYTES + TCP_BYTES
        every = [
            self._bytes[name] + around * self._calls[name]
            for name in self._names
        ]
        return PeerCost(
            hosts=hosts,
            voters=len(self._voters),
            runners=self._runners,
            calls_per_s=sum(self._calls.values()) / hosts / seconds,
            body_bytes_per_s=sum(self._bytes.values()) / hosts / seconds,
            all_bytes_per_s=sum(every) / hosts / seconds,
            worst_all_bytes_per_s=max(every) / seconds,
            cpu_share=spent_s / hosts / seconds,
        )

    def _place_runners(self) -> None:
        everybody = {
            name: f'zone-{place % 24}'
            for place, name in enumerate(self._names)
        }
        for place, name in enumerate(self._names):
            desk = self._desks[name]
            desk.set_hosts(everybody)
            desk.leases.want(f'host:{name}', fence_floor=1)
            # Each host is told of the runners of its own zone alone.
            for number in range(self._runners):
                if number % 24 != place % 24 and len(self._names) > 24:
                    continue
                desk.on_report(_report(number), 0.0)

    def _play(self, seconds: float) -> None:
        end_s = self._now_s + seconds
        while self._now_s < end_s:
            self._now_s += TICK_S
            self._deliver()
            for name in self._names:
                self._tick(name)

    def _tick(self, name: str) -> None:
        for send in self._members[name].tick(self._now_s):
            target = _name(send.url)
            self._calls[name] += 1
            self._calls[target] += 1
            self._post(name, target, member_codec.encode(send.message))
        desk = self._desks[name]
        for item in desk.tick(self._now_s, fence_floor=1):
            if not isinstance(item.message, lease_message.LeaseRequest):
                continue
            self._vote(name, item.host_id, item.message)

    def _vote(
        self, name: str, voter: str, ask: lease_message.LeaseRequest
    ) -> None:
        if voter == name:
            vote = self._desks[voter].voter.vote(ask, self._now_s)
            self._desks[name].on_vote(vote, self._now_s)
            return
        data = lease_codec.encode_ask(ask)
        asked = lease_codec.decode_ask(data)
        vote = self._desks[voter].voter.vote(asked, self._now_s)
        back = lease_codec.encode_vote(vote)
        got = lease_codec.decode_vote(back)
        self._desks[name].on_vote(got, self._now_s)
        for host in (name, voter):
            self._calls[host] += 1
            self._bytes[host] += len(data) + len(back)

    def _post(self, source: str, target: str, data: bytes) -> None:
        self._bytes[source] += len(data)
        self._bytes[target] += len(data)
        self._order += 1
        heapq.heappush(
            self._queue, (self._now_s + DELAY_S, self._order, target, data)
        )

    def _deliver(self) -> None:
        while self._queue and self._queue[0][0] <= self._now_s:
            _, _, target, data = heapq.heappop(self._queue)
            message = member_codec.decode(data)
            sends = self._members[target].receive(message, self._now_s)
            for send in sends:
                self._post(
                    target, _name(send.url), member_codec.encode(send.message)
                )


def _url(name: str) -> str:
    return f'http://10.20.30.{int(name[5:])}:8443'


def _name(url: str) -> str:
    number = int(url.rsplit('.', 1)[1].split(':')[0])
    return f'host-{number:03d}'


def _report(number: int) -> runner_report.RunnerReport:
    return runner_report.RunnerReport(
        runner_id=f'runner-{number:04d}',
        zone=f'zone-{number % 24}',
        incarnation=1,
        sequence=1,
        measured_s=0.0,
        slots=20,
        kv_capacity_bytes=1 << 33,
        kv_used_bytes=0,
        runs=frozenset(),
    )


SIZES = ((7, 7, 8), (7, 5, 8), (50, 5, 250), (350, 5, 1800))


def main() -> int:
    """Print one line of JSON for each size."""
    for hosts, voters, runners in SIZES:
        played = PeerCosts(hosts=hosts, voters=voters, runners=runners)
        cost = played.run(10.0 if hosts > 50 else 60.0)
        print(json.dumps(dataclasses.asdict(cost)), flush=True)
    return 0


if __name__ == '__main__':
    sys.exit(main())
