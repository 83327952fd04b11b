"""Which hosts are there: a probing protocol without a centre.

Each host probes one other in a period, in a shuffled round. A probe
unanswered is repeated through helpers, then the host is suspect, and
dead only when it did not contradict for a time. News rides on probes.
The cost of a host therefore does not grow with their number, only the
time that news needs does, with its logarithm.

The class is pure: messages and ``now_s`` come in, messages go out.
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
    heard_s: float | None = None
    own_values: dict[str, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(kw_only=True, slots=True)
class _Probe:
    host_id: str
    incarnation: int
    sent_s: float
    helped: bool = False


@dataclasses.dataclass(kw_only=True, slots=True)
class _Relayed:
    sequence: int
    asker: member_claim.MemberClaim
    subject_id: str
    sent_s: float


class Membership:
    """One host's part of the protocol.

    Parameters
    ----------
    claim : MemberClaim
        This host.
    seeds : sequence of str
        Addresses to start from, from the settings.
    config : MembershipConfig
        Periods and bounds.
    rng : Random
        Seeded generator.
    """

    __slots__ = (
        '_config',
        '_members',
        '_news',
        '_next_page',
        '_next_probe_s',
        '_next_rejoin_s',
        '_probes',
        '_relayed',
        '_rng',
        '_round',
        '_seeds',
        '_self',
        '_sequence',
        '_ticked_s',
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
        self._news: dict[str, int] = {claim.host_id: 0}
        self._probes: dict[int, _Probe] = {}
        self._relayed: dict[int, _Relayed] = {}
        self._round: list[str] = []
        self._sequence = 0
        self._next_probe_s = -math.inf
        self._next_rejoin_s = -math.inf
        self._ticked_s: float | None = None
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
        """What the host claims of itself."""
        return self._self

    @property
    def values(self) -> dict[str, int]:
        """Highest numbers heard of, by name."""
        return dict(self._values)

    def offer_value(self, name: str, number: int) -> None:
        """Take a number that this host has in force."""
        self.own_values[name] = max(number, self.own_values.get(name, number))
        self._merge_values([(name, number)])

    def values_of(self, host_id: str) -> dict[str, int]:
        """Numbers that a host itself said it has in force."""
        member = self._members.get(host_id)
        return dict(member.own_values) if member else {}

    def view(self, now_s: float) -> member_view.MemberView:
        """Return what this host believes now."""
        heard = {self._self.host_id: 0.0}
        claims = [self._self]
        for host_id, member in self._members.items():
            claims.append(member.claim)
            if member.heard_s is not None:
                heard[host_id] = now_s - member.heard_s
        count = max(1, len(claims))
        period_s = self._config.probe_period_s
        return member_view.MemberView(
            claims=tuple(claims),
            heard_age_s=heard,
            recently_s=period_s * count + self._config.suspicion_s,
        )

    def tick(self, now_s: float) -> list[member_message.Send]:
        """Do what is due; call it a few times in each period."""
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
        """Take a message and return the messages it causes."""
        self._merge_values(message.values)
        self._take_claim(message.sender, now_s)
        self._hear(message, now_s)
        for claim in message.claims:
            self._take_claim(claim, now_s)
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
        """Say from now on that this host takes no new work."""
        self._change_self(leaving=True)

    def leave(self, now_s: float) -> list[member_message.Send]:
        """Say goodbye to a few hosts, which pass it on."""
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
        # A process that was stopped and wakes finds all its probes
        # overdue, though every other host answered: without this guard
        # it would suspect them all. The gap between two ticks shows it.
        before_s = self._ticked_s
        self._ticked_s = now_s
        if before_s is None or now_s - before_s <= self._config.frozen_s:
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
            if not probe.helped:
                probe.helped = True
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
                self._news.pop(host_id, None)

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
        lost = [url for url, status in known.items() if status is _DEAD]
        lost += [url for url in self._seeds if url not in known]
        lost.sort()
        self._rng.shuffle(lost)
        everyone = self._names((_ALIVE,))
        # With nobody known yet, all seeds at once: the start is short.
        count = 2 if everyone else len(lost)
        return [self._ping(url) for url in lost[:count]]

    # -- messages

    def _ping(self, url: str) -> member_message.Send:
        self._sequence += 1
        message = self._message(
            _Kind.PING,
            self._sequence,
            page_after=self._next_page,
            extra=self._doubts(url),
        )
        return member_message.Send(url=url, message=message)

    def _doubts(self, url: str) -> list[member_claim.MemberClaim]:
        """Return what is held against the host at an address.

        A host taken for dead can contradict only what it is told;
        otherwise it would stay dead here after a partition or a freeze.
        """
        return [
            member.claim
            for member in self._members.values()
            if member.claim.url == url and member.claim.status is not _ALIVE
        ]

    def _ack(self, ping: member_message.MemberMessage) -> member_message.Send:
        page = self._doubts(ping.sender.url)
        page_next = None
        if ping.page_after is not None:
            more, page_next = self._page(ping.page_after)
            page += more
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
        self._relayed[send.message.sequence] = _Relayed(
            sequence=message.sequence,
            asker=message.sender,
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
        return [member_message.Send(url=relayed.asker.url, message=answer)]

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
            claims=tuple([*extra, *self._pick_news()]),
            page_after=page_after,
            page_next=page_next,
            values=tuple(self._values.items()),
            own_values=tuple(self.own_values.items()),
        )

    def _pick_news(self) -> list[member_claim.MemberClaim]:
        """Take the news sent least often so far, up to the bound."""
        hosts = len(self._members) + 1
        limit = self._config.retransmits * (1 + int(math.log2(hosts)))
        names = sorted(self._news, key=self._news.__getitem__)
        picked = []
        for name in names[: self._config.max_claims]:
            self._news[name] += 1
            if self._news[name] > limit:
                del self._news[name]
            if name == self._self.host_id:
                continue
            picked.append(self._members[name].claim)
        return picked

    # -- what is believed

    def _hear(
        self, message: member_message.MemberMessage, now_s: float
    ) -> None:
        member = self._members.get(message.sender.host_id)
        if member is None:
            return
        if member.claim.incarnation != message.sender.incarnation:
            return
        member.heard_s = now_s
        member.own_values.update(message.own_values)

    def _take_claim(
        self, claim: member_claim.MemberClaim, now_s: float
    ) -> None:
        if claim.host_id == self._self.host_id:
            self._contradict(claim)
            return
        member = self._members.get(claim.host_id)
        if member is None:
            member = _Member(claim=claim, changed_s=now_s)
            self._members[claim.host_id] = member
            self._news[claim.host_id] = 0
            return
        if claim.order <= member.claim.order:
            return
        if claim.incarnation > member.claim.incarnation:
            member.heard_s = None
            member.own_values = {}
        self._store(member, claim, now_s)

    def _contradict(self, claim: member_claim.MemberClaim) -> None:
        mine = self._self
        if mine.status is _LEFT:
            return
        if claim.incarnation > mine.incarnation:
            # A former self whose clock was ahead; go past it, or the
            # others would take every word of ours for an old one.
            self._change_self(incarnation=claim.incarnation + 1)
            return
        if claim.order <= mine.order:
            return
        self._change_self(refutation=claim.refutation)

    def _change_self(self, **changes: typing.Any) -> None:
        changes.setdefault('refutation', self._self.refutation)
        changes['refutation'] += 1
        self._self = dataclasses.replace(self._self, **changes)
        self._news[self._self.host_id] = 0

    def _store(
        self,
        member: _Member,
        claim: member_claim.MemberClaim,
        now_s: float,
    ) -> None:
        member.claim = claim
        member.changed_s = now_s
        self._news[claim.host_id] = 0

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
