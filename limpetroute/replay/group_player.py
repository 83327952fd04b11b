"""Replays events on a group of control replicas."""

import random
import typing

from limpetroute import agreement
from limpetroute.replay import player
from limpetroute.replay import replica_host

STEP_S = 0.05


class GroupPlayer:
    """Simulates replicas, their disks and the network between them.

    The network delivers a message one step of `STEP_S` after it was
    sent. Before each event of the trace the simulation runs up to the
    event's time.
    """

    def __init__(self) -> None:
        self._hosts: dict[str, replica_host.ReplicaHost] = {}
        self._rng = random.Random(0)
        self._now_s = 0.0
        self._in_flight: list[agreement.Envelope] = []

    def __repr__(self) -> str:
        return f'{type(self).__name__}(hosts={list(self._hosts)!r})'

    @property
    def verbs(self) -> typing.Mapping[str, player.Verb]:
        """Return the operations on a group, by name."""
        return {
            'start': self._start,
            'propose': self._propose,
            'propose_many': self._propose_many,
            'compact': self._compact,
            'cut': self._cut,
            'heal': self._heal,
            'stop': self._stop,
            'restart': self._restart,
            'lose_disk': self._lose_disk,
            'leader': self._leader,
            'applied': self._applied,
            'voters': self._voters,
        }

    def _start(self, *, now_s: float, hosts: list[str], seed: int = 1) -> None:
        self._now_s = now_s
        self._rng = random.Random(seed)
        saved = agreement.initial_state({host: f'{host}.0' for host in hosts})
        for host_id in hosts:
            host = replica_host.ReplicaHost(host_id=host_id, saved=saved)
            self._hosts[host_id] = host
            host.start(random.Random(self._rng.random()), now_s)

    def _propose(self, *, now_s: float, host: str, command: str) -> str:
        """Propose a command; return the class name of the host's result.

        Returns 'stopped' if the host is not running.
        """
        self._advance(now_s)
        target = self._host(host)
        if target.replica is None:
            return 'stopped'
        event = agreement.Propose(commands=(command.encode(),))
        sends, proposal = target.step(event, self._now_s)
        self._send(target, sends)
        return type(proposal).__name__

    def _propose_many(self, *, now_s: float, host: str, count: int) -> int:
        """Propose ``change-0`` and so on; return how many were appended."""
        appended = 0
        for number in range(count):
            outcome = self._propose(
                now_s=now_s, host=host, command=f'change-{number}'
            )
            appended += outcome == 'Appended'
        return appended

    def _compact(self, *, now_s: float, host: str) -> None:
        self._advance(now_s)
        target = self._host(host)
        self._send(target, target.compact(self._now_s))

    def _cut(self, *, now_s: float, host: str) -> None:
        """Drop all messages to and from a host silently."""
        self._advance(now_s)
        self._host(host).cut = True

    def _heal(self, *, now_s: float, host: str) -> None:
        self._advance(now_s)
        self._host(host).cut = False

    def _stop(self, *, now_s: float, host: str) -> None:
        self._advance(now_s)
        self._host(host).stop()

    def _restart(self, *, now_s: float, host: str) -> None:
        self._advance(now_s)
        target = self._host(host)
        target.start(random.Random(self._rng.random()), self._now_s)

    def _lose_disk(self, *, now_s: float, host: str) -> None:
        self._advance(now_s)
        self._host(host).lose_disk()

    def _leader(self, *, now_s: float) -> str | None:
        """Return the leader that may serve reads, or None."""
        self._advance(now_s)
        for host in self._running():
            assert host.replica is not None
            if host.replica.can_read(self._now_s):
                return host.host_id
        return None

    def _applied(self, *, now_s: float, host: str) -> dict[str, typing.Any]:
        """Return the number of commands a host applied, and the last."""
        self._advance(now_s)
        applied = self._host(host).applied
        last = applied[-1] if applied else None
        return {'count': len(applied), 'last': last}

    def _voters(self, *, now_s: float) -> list[str] | None:
        """Return the replica ids of the leader's voters, or None."""
        leader = self._leader(now_s=now_s)
        if leader is None:
            return None
        replica = self._hosts[leader].replica
        assert replica is not None
        return sorted(replica.membership.voters)

    def _host(self, name: str) -> replica_host.ReplicaHost:
        if name not in self._hosts:
            allowed = ', '.join(self._hosts)
            raise player.PlayError(f'with.host: one of {allowed}')
        return self._hosts[name]

    def _running(self) -> list[replica_host.ReplicaHost]:
        return [
            host for host in self._hosts.values() if host.replica is not None
        ]

    def _advance(self, now_s: float) -> None:
        while self._now_s + STEP_S <= now_s + STEP_S / 2:
            self._now_s += STEP_S
            self._deliver()
            for host in self._running():
                sends, _ = host.step(agreement.Tick(), self._now_s)
                self._send(host, sends)
            self._replace_lost()

    def _send(
        self,
        host: replica_host.ReplicaHost,
        sends: list[agreement.Envelope],
    ) -> None:
        if not host.cut:
            self._in_flight.extend(sends)

    def _deliver(self) -> None:
        due, self._in_flight = self._in_flight, []
        for envelope in due:
            for host in self._running():
                if host.cut or host.replica_id != envelope.to:
                    continue
                event = agreement.Received(envelope=envelope)
                sends, _ = host.step(event, self._now_s)
                self._send(host, sends)

    def _replace_lost(self) -> None:
        """Propose membership changes that replace a host's lost replica.

        A host that lost its disk runs under a new replica id.
        """
        for leader in self._running():
            assert leader.replica is not None
            if leader.replica.role is not agreement.Role.LEADER:
                continue
            for host in self._running():
                if leader.cut or host.cut:
                    continue
                change = agreement.next_change(
                    leader.replica.membership,
                    host_id=host.host_id,
                    replica_id=host.replica_id,
                )
                if change is None:
                    continue
                sends, _ = leader.step(change, self._now_s)
                self._send(leader, sends)
                break
