"""Decentralized membership and failure detection, similar to SWIM.

In each period a host probes one other host, in a shuffled round. If
the probe is not answered, helpers repeat it. If they get no reply
either, the host becomes suspect, and it becomes dead unless it refutes
the suspicion in time. Changed claims are sent along with the probes.
The load of a host therefore does not grow with the number of hosts; the
time until a change reaches all hosts grows with its logarithm.

The class does no input or output: it takes messages and ``now_s`` and
returns the messages to send.
"""

import dataclasses
import math
import random
import typing

from limpetroute.peers import member_claim
from limpetroute.peers import member_message
from limpetroute.peers import member_status
from limpetroute.peers import member_view
from limpetroute.peers import membership_config

__all__ = ['Membership']

_ALIVE = member_status.MemberStatus.ALIVE
_SUSPECT = member_status.MemberStatus.SUSPECT
_DEAD = member_status.MemberStatus.DEAD
_LEFT = member_status.MemberStatus.LEFT
_Kind = member_message.MessageKind


@dataclasses.dataclass(kw_only=True, slots=True)
class _Member:
    claim: member_claim.MemberClaim
    changed_s: float
    last_seen_s: float | None = None
    own_values: dict[str, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(kw_only=True, slots=True)
class _Probe:
    host_id: str
    incarnation: int
    sent_s: float
    sent_to_helpers: bool = False


@dataclasses.dataclass(kw_only=True, slots=True)
class _RelayedProbe:
    sequence: int
    requester: member_claim.MemberClaim
    subject_id: str
    sent_s: float


class Membership:
    """The state of the membership protocol at one host.

    Parameters
    ----------
    claim : MemberClaim
        Claim of this host about itself.
    seeds : sequence of str
        Addresses of the first hosts to probe, from the settings.
    config : MembershipConfig
        Periods and limits of the protocol.
    rng : Random
        Seeded random number generator.
    """

    __slots__ = (
        '_config',
        '_last_tick_s',
        '_members',
        '_next_page',
        '_next_probe_s',
        '_next_rejoin_s',
        '_probes',
        '_relayed',
        '_rng',
        '_round',
        '_seeds',
        '_self',
        '_send_counts',
        '_sequence',
        '_values',
        'own_values',
    )

    def __init__(
        self,
        *,
        claim: member_claim.MemberClaim,
        seeds: typing.Sequence[str],
        config: membership_config.MembershipConfig,
        rng: random.Random,
    ) -> None:
        self._self = claim
        self._seeds = [url for url in seeds if url != claim.url]
        self._config = config
        self._rng = rng
        self._members: dict[str, _Member] = {}
        self._send_counts: dict[str, int] = {claim.host_id: 0}
        self._probes: dict[int, _Probe] = {}
        self._relayed: dict[int, _RelayedProbe] = {}
        self._round: list[str] = []
        self._sequence = 0
        self._next_probe_s = -math.inf
        self._next_rejoin_s = -math.inf
        self._last_tick_s: float | None = None
        self._next_page: str | None = ''
        self._values: dict[str, int] = {}
        self.own_values: dict[str, int] = {}

    def __repr__(self) -> str:
        return (
            f'{type(self).__name__}(host_id={self._self.host_id!r}, '
            f'members={len(self._members)!r})'
        )

    @property
    def claim(self) -> member_claim.MemberClaim:
        """Claim of this host about itself."""
        return self._self

    @property
    def values(self) -> dict[str, int]:
        """Highest numbers received from any host, by name."""
        return dict(self._values)

    def offer_value(self, name: str, number: int) -> None:
        """Publish a number that is in effect at this host."""
        self.own_values[name] = max(number, self.own_values.get(name, number))
        self._merge_values([(name, number)])

    def values_of(self, host_id: str) -> dict[str, int]:
        """Return the numbers that a host reported as in effect there."""
        member = self._members.get(host_id)
        return dict(member.own_values) if member else {}

    def view(self, now_s: float) -> member_view.MemberView:
        """Return the membership as seen by this host now."""
        last_seen_age_s = {self._self.host_id: 0.0}
        claims = [self._self]
        for host_id, member in self._members.items():
            claims.append(member.claim)
            if member.last_seen_s is not None:
                last_seen_age_s[host_id] = now_s - member.last_seen_s
        count = max(1, len(claims))
        period_s = self._config.probe_period_s
        return member_view.MemberView(
            claims=tuple(claims),
            heard_age_s=last_seen_age_s,
            recently_s=period_s * count + self._config.suspicion_s,
        )

    def tick(self, now_s: float) -> list[member_message.Send]:
        """Do the periodic work; call it several times per probe period."""
        self._drop_probes_if_frozen(now_s)
        out: list[member_message.Send] = []
        out += self._check_probes(now_s)
        self._check_suspects(now_s)
        if now_s >= self._next_rejoin_s:
            self._next_rejoin_s = now_s + self._config.rejoin_period_s
            out += self._rejoin()
        if now_s >= self._next_probe_s:
            self._next_probe_s = now_s + self._config.probe_period_s
            out += self._probe_next(now_s)
        return out

    def receive(
        self, message: member_message.MemberMessage, now_s: float
    ) -> list[member_message.Send]:
        """Process a message and return the messages to send."""
        self._merge_values(message.values)
        self._apply_claim(message.sender, now_s)
        self._note_seen(message, now_s)
        for claim in message.claims:
            self._apply_claim(claim, now_s)
        if message.kind is _Kind.PING:
            return [self._ack(message)]
        if message.kind is _Kind.PING_FOR:
            return self._ping_for(message, now_s)
        if message.kind is _Kind.ACK:
            self._next_page_from(message)
            return self._on_ack(message)
        self._probes.pop(message.sequence, None)
        return []

    def start_leaving(self) -> None:
        """Announce from now on that this host takes no new work."""
        self._change_self(leaving=True)

    def leave(self, now_s: float) -> list[member_message.Send]:
        """Notify a few hosts, which pass on that this host has left."""
        self._change_self(leaving=True, status=_LEFT)
        names = self._names((_ALIVE, _SUSPECT))
        self._rng.shuffle(names)
        out = []
        for host_id in names[: 2 * self._config.helpers + 1]:
            url = self._members[host_id].claim.url
            out.append(self._ping(url))
        return out

    # -- probing

    def _drop_probes_if_frozen(self, now_s: float) -> None:
        # When a process continues after it was stopped, all its probes
        # are overdue although the other hosts answered. Without this
        # guard it would suspect them all. A long gap between two ticks
        # shows that the process was stopped.
        last_tick_s = self._last_tick_s
        self._last_tick_s = now_s
        if last_tick_s is None or now_s - last_tick_s <= self._config.frozen_s:
            return
        self._probes.clear()
        self._relayed.clear()
        for member in self._members.values():
            if member.claim.status is _SUSPECT:
                member.changed_s = now_s

    def _check_probes(self, now_s: float) -> list[member_message.Send]:
        out: list[member_message.Send] = []
        timeout_s = self._config.probe_timeout_s
        for sequence, probe in list(self._probes.items()):
            age_s = now_s - probe.sent_s
            if age_s < timeout_s:
                continue
            if not probe.sent_to_helpers:
                probe.sent_to_helpers = True
                out += self._ask_helpers(sequence, probe)
                continue
            if age_s < 2 * timeout_s:
                continue
            del self._probes[sequence]
            self._suspect(probe, now_s)
        for sequence, relayed in list(self._relayed.items()):
            if now_s - relayed.sent_s > 2 * timeout_s:
                del self._relayed[sequence]
        return out

    def _ask_helpers(
        self, sequence: int, probe: _Probe
    ) -> list[member_message.Send]:
        names = [
            name for name in self._names((_ALIVE,)) if name != probe.host_id
        ]
        self._rng.shuffle(names)
        out = []
        for name in names[: self._config.helpers]:
            message = self._message(
                _Kind.PING_FOR, sequence, subject_id=probe.host_id
            )
            url = self._members[name].claim.url
            out.append(member_message.Send(url=url, message=message))
        return out

    def _suspect(self, probe: _Probe, now_s: float) -> None:
        member = self._members.get(probe.host_id)
        if member is None or member.claim.incarnation != probe.incarnation:
            return
        if member.claim.status is not _ALIVE:
            return
        claim = dataclasses.replace(member.claim, status=_SUSPECT)
        self._store(member, claim, now_s)

    def _check_suspects(self, now_s: float) -> None:
        config = self._config
        for host_id, member in list(self._members.items()):
            age_s = now_s - member.changed_s
            status = member.claim.status
            if status is _SUSPECT and age_s >= config.suspicion_s:
                claim = dataclasses.replace(member.claim, status=_DEAD)
                self._store(member, claim, now_s)
                continue
            if status in (_DEAD, _LEFT) and age_s >= config.forget_s:
                del self._members[host_id]
                self._send_counts.pop(host_id, None)

    def _probe_next(self, now_s: float) -> list[member_message.Send]:
        while True:
            if not self._round:
                self._round = self._names((_ALIVE, _SUSPECT))
                self._rng.shuffle(self._round)
            if not self._round:
                return []
            member = self._members.get(self._round.pop())
            if member is None or member.claim.status in (_DEAD, _LEFT):
                continue
            send = self._ping(member.claim.url)
            self._probes[send.message.sequence] = _Probe(
                host_id=member.claim.host_id,
                incarnation=member.claim.incarnation,
                sent_s=now_s,
            )
            return [send]

    def _rejoin(self) -> list[member_message.Send]:
        known = {
            member.claim.url: member.claim.status
            for member in self._members.values()
        }
        targets = [url for url, status in known.items() if status is _DEAD]
        targets += [url for url in self._seeds if url not in known]
        targets.sort()
        self._rng.shuffle(targets)
        alive = self._names((_ALIVE,))
        # While no other host is alive, probe all seeds at once to join
        # quickly.
        count = 2 if alive else len(targets)
        return [self._ping(url) for url in targets[:count]]

    # -- messages

    def _ping(self, url: str) -> member_message.Send:
        self._sequence += 1
        message = self._message(
            _Kind.PING,
            self._sequence,
            page_after=self._next_page,
            extra=self._claims_against(url),
        )
        return member_message.Send(url=url, message=message)

    def _claims_against(self, url: str) -> list[member_claim.MemberClaim]:
        """Return the claims that the host at an address is not alive.

        A host can refute only claims that it receives. Without them, a
        host considered dead would stay dead here after a partition or a
        freeze.
        """
        return [
            member.claim
            for member in self._members.values()
            if member.claim.url == url and member.claim.status is not _ALIVE
        ]

    def _ack(self, ping: member_message.MemberMessage) -> member_message.Send:
        page = self._claims_against(ping.sender.url)
        page_next = None
        if ping.page_after is not None:
            claims, page_next = self._page(ping.page_after)
            page += claims
        message = self._message(
            _Kind.ACK, ping.sequence, extra=page, page_next=page_next
        )
        return member_message.Send(url=ping.sender.url, message=message)

    def _page(
        self, after: str
    ) -> tuple[list[member_claim.MemberClaim], str | None]:
        names = sorted(name for name in self._members if name > after)
        first = names[: self._config.page_claims]
        page = [self._members[name].claim for name in first]
        if len(first) < len(names):
            return page, first[-1]
        return page, None

    def _next_page_from(self, message: member_message.MemberMessage) -> None:
        if self._next_page is None:
            return
        self._next_page = message.page_next

    def _ping_for(
        self, message: member_message.MemberMessage, now_s: float
    ) -> list[member_message.Send]:
        subject = self._members.get(message.subject_id)
        if subject is None:
            return []
        send = self._ping(subject.claim.url)
        self._relayed[send.message.sequence] = _RelayedProbe(
            sequence=message.sequence,
            requester=message.sender,
            subject_id=message.subject_id,
            sent_s=now_s,
        )
        return [send]

    def _on_ack(
        self, message: member_message.MemberMessage
    ) -> list[member_message.Send]:
        probe = self._probes.get(message.sequence)
        if probe is not None and probe.host_id == message.sender.host_id:
            del self._probes[message.sequence]
        relayed = self._relayed.pop(message.sequence, None)
        if relayed is None or relayed.subject_id != message.sender.host_id:
            return []
        answer = self._message(
            _Kind.ACK_FOR,
            relayed.sequence,
            subject_id=relayed.subject_id,
            extra=[message.sender],
        )
        return [member_message.Send(url=relayed.requester.url, message=answer)]

    def _message(
        self,
        kind: member_message.MessageKind,
        sequence: int,
        *,
        subject_id: str = '',
        page_after: str | None = None,
        page_next: str | None = None,
        extra: typing.Sequence[member_claim.MemberClaim] = (),
    ) -> member_message.MemberMessage:
        return member_message.MemberMessage(
            kind=kind,
            sequence=sequence,
            sender=self._self,
            subject_id=subject_id,
            claims=tuple([*extra, *self._pick_changed()]),
            page_after=page_after,
            page_next=page_next,
            values=tuple(self._values.items()),
            own_values=tuple(self.own_values.items()),
        )

    def _pick_changed(self) -> list[member_claim.MemberClaim]:
        """Return the changed claims sent least often, up to the limit."""
        hosts = len(self._members) + 1
        limit = self._config.retransmits * (1 + int(math.log2(hosts)))
        names = sorted(self._send_counts, key=self._send_counts.__getitem__)
        picked = []
        for name in names[: self._config.max_claims]:
            self._send_counts[name] += 1
            if self._send_counts[name] > limit:
                del self._send_counts[name]
            if name == self._self.host_id:
                continue
            picked.append(self._members[name].claim)
        return picked

    # -- claims

    def _note_seen(
        self, message: member_message.MemberMessage, now_s: float
    ) -> None:
        member = self._members.get(message.sender.host_id)
        if member is None:
            return
        if member.claim.incarnation != message.sender.incarnation:
            return
        member.last_seen_s = now_s
        member.own_values.update(message.own_values)

    def _apply_claim(
        self, claim: member_claim.MemberClaim, now_s: float
    ) -> None:
        if claim.host_id == self._self.host_id:
            self._refute(claim)
            return
        member = self._members.get(claim.host_id)
        if member is None:
            member = _Member(claim=claim, changed_s=now_s)
            self._members[claim.host_id] = member
            self._send_counts[claim.host_id] = 0
            return
        if claim.order <= member.claim.order:
            return
        if claim.incarnation > member.claim.incarnation:
            member.last_seen_s = None
            member.own_values = {}
        self._store(member, claim, now_s)

    def _refute(self, claim: member_claim.MemberClaim) -> None:
        mine = self._self
        if mine.status is _LEFT:
            return
        if claim.incarnation > mine.incarnation:
            # The former process of this host had a clock that was ahead.
            # A higher incarnation is needed, or other hosts would discard
            # every claim of this process as outdated.
            self._change_self(incarnation=claim.incarnation + 1)
            return
        if claim.order <= mine.order:
            return
        self._change_self(refutation=claim.refutation)

    def _change_self(self, **changes: typing.Any) -> None:
        changes.setdefault('refutation', self._self.refutation)
        changes['refutation'] += 1
        self._self = dataclasses.replace(self._self, **changes)
        self._send_counts[self._self.host_id] = 0

    def _store(
        self,
        member: _Member,
        claim: member_claim.MemberClaim,
        now_s: float,
    ) -> None:
        member.claim = claim
        member.changed_s = now_s
        self._send_counts[claim.host_id] = 0

    def _merge_values(self, values: typing.Iterable[tuple[str, int]]) -> None:
        for name, number in values:
            self._values[name] = max(number, self._values.get(name, number))

    def _names(
        self, statuses: tuple[member_status.MemberStatus, ...]
    ) -> list[str]:
        return sorted(
            host_id
            for host_id, member in self._members.items()
            if member.claim.status in statuses
        )
