"""Replays requests for leases that entry hosts vote on."""

import typing

from limpetroute.peers import lease_config
from limpetroute.peers import lease_holder
from limpetroute.peers import lease_voter
from limpetroute.replay import player

STEP_S = 0.05


class LeasePlayer:
    """Simulates lease holders, lease voters and the network between them.

    Before each event of the trace the simulation runs up to the event's
    time.
    """

    def __init__(self) -> None:
        self._config = lease_config.LeaseConfig()
        self._voters: dict[str, lease_voter.LeaseVoter] = {}
        self._holders: dict[str, lease_holder.LeaseHolder] = {}
        self._cut: set[str] = set()
        self._now_s = 0.0

    def __repr__(self) -> str:
        return f'{type(self).__name__}(hosts={list(self._voters)!r})'

    @property
    def verbs(self) -> typing.Mapping[str, player.Verb]:
        """Return the operations on leases, by name."""
        return {
            'start': self._start,
            'want': self._want,
            'unwant': self._unwant,
            'cut': self._cut_off,
            'heal': self._heal,
            'restart': self._restart,
            'held_by': self._held_by,
        }

    def _start(
        self,
        *,
        now_s: float,
        hosts: list[str],
        duration_s: float = 6.0,
        renew_s: float = 2.0,
    ) -> None:
        """Start hosts whose voters may vote at once.

        A voter grants nothing for a while after its start, so the voters
        get a start time two lease durations in the past.
        """
        self._config = lease_config.LeaseConfig(
            duration_s=duration_s, renew_s=renew_s
        )
        self._now_s = now_s
        for host in hosts:
            self._boot(host, hosts, now_s - 2 * duration_s)

    def _want(
        self, *, now_s: float, host: str, resource: str, fence_floor: int = 1
    ) -> None:
        self._advance(now_s)
        self._holder(host).want(resource, fence_floor=fence_floor)

    def _unwant(self, *, now_s: float, host: str, resource: str) -> None:
        self._advance(now_s)
        self._holder(host).unwant(resource)

    def _cut_off(self, *, now_s: float, host: str) -> None:
        """Drop all messages to and from a host silently."""
        self._advance(now_s)
        self._cut.add(host)

    def _heal(self, *, now_s: float, host: str) -> None:
        self._advance(now_s)
        self._cut.discard(host)

    def _restart(self, *, now_s: float, host: str) -> None:
        """Start a host again, without the votes it gave before."""
        self._advance(now_s)
        self._holder(host)
        self._boot(host, list(self._voters), now_s)

    def _held_by(self, *, now_s: float, resource: str) -> dict[str, int]:
        """Return the fencing number of the lease for each host holding it."""
        self._advance(now_s)
        fences = {}
        for host, holder in self._holders.items():
            grant = holder.held(resource, self._now_s)
            if grant is not None:
                fences[host] = grant.fence
        return fences

    def _holder(self, host: str) -> lease_holder.LeaseHolder:
        if host not in self._holders:
            allowed = ', '.join(self._holders)
            raise player.PlayError(f'with.host: one of {allowed}')
        return self._holders[host]

    def _boot(self, host: str, hosts: list[str], started_s: float) -> None:
        self._voters[host] = lease_voter.LeaseVoter(
            voter_id=host, config=self._config, started_s=started_s
        )
        self._holders[host] = lease_holder.LeaseHolder(
            holder_id=host, voters=hosts, config=self._config
        )

    def _advance(self, now_s: float) -> None:
        while self._now_s + STEP_S <= now_s + STEP_S / 2:
            self._now_s += STEP_S
            for host, holder in self._holders.items():
                for voter, request in holder.tick(self._now_s):
                    if host != voter and {host, voter} & self._cut:
                        continue
                    vote = self._voters[voter].vote(request, self._now_s)
                    holder.on_vote(vote, self._now_s)
