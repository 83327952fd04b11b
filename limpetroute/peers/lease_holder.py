"""Requests, renews and releases leases."""

import dataclasses
import typing

from limpetroute.peers import lease_config
from limpetroute.peers import lease_message

__all__ = ['LeaseHeld', 'LeaseHolder']

MAX_OPEN_REQUESTS = 64


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LeaseHeld:
    """A lease that may be used.

    Parameters
    ----------
    resource : str
        Name of the leased resource.
    fence : int
        Fencing number; grows each time the lease is acquired.
    previous_fence : int
        Highest number that the voters had seen before ``fence``.
    since_s, until_s : float
        When the lease was acquired, and when its use must end.
    known_successor_id : str
        Newest successor that any voter has reported.
    successor_id : str
        Successor that a majority of voters has stored for this lease.
    """

    resource: str
    fence: int
    previous_fence: int
    since_s: float
    until_s: float
    known_successor_id: str = ''
    successor_id: str = ''


@dataclasses.dataclass(kw_only=True, slots=True)
class _Wanted:
    fence: int
    previous_fence: int = 0
    since_s: float | None = None
    successor: str = ''
    newest_successor: str = ''
    noted_successors: dict[str, str] = dataclasses.field(default_factory=dict)
    promised_s: dict[str, float] = dataclasses.field(default_factory=dict)
    refused_by: dict[str, str] = dataclasses.field(default_factory=dict)

    def note_reported(self, successor: str) -> None:
        """Keep the newest successor that any voter has reported."""
        self.newest_successor = max(
            self.newest_successor, successor, key=lease_message.successor_order
        )


class LeaseHolder:
    """Acquires and renews leases, and limits how long each may be used.

    Parameters
    ----------
    holder_id : str
        Id of this host.
    voters : sequence of str
        The hosts that vote, the same list on every host.
    config : LeaseConfig
        Durations, the same on every host.
    """

    __slots__ = (
        '_config',
        '_id',
        '_last_fences',
        '_next_request_s',
        '_number',
        '_releases',
        '_requests',
        '_sent_s',
        '_voters',
        '_wanted',
    )

    def __init__(
        self,
        *,
        holder_id: str,
        voters: typing.Sequence[str],
        config: lease_config.LeaseConfig,
    ) -> None:
        if not voters:
            raise ValueError(f'no voters: {voters!r}')
        self._id = holder_id
        self._voters = tuple(voters)
        self._config = config
        self._wanted: dict[str, _Wanted] = {}
        self._releases: list[lease_message.LeaseRelease] = []
        self._requests: dict[int, lease_message.LeaseRequest] = {}
        self._sent_s: dict[int, float] = {}
        self._number = 0
        self._last_fences: dict[str, int] = {}
        self._next_request_s = 0.0

    def __repr__(self) -> str:
        return (
            f'{type(self).__name__}(holder_id={self._id!r}, '
            f'wanted={len(self._wanted)!r})'
        )

    @property
    def wanted(self) -> tuple[str, ...]:
        """Resources whose lease this host requests or holds."""
        return tuple(self._wanted)

    def want(self, resource: str, *, fence_floor: int) -> None:
        """Request the lease of a resource from the next tick on.

        Parameters
        ----------
        resource : str
            Name of the resource.
        fence_floor : int
            Lowest fencing number to use. It must grow with each start of
            the process, like the start time or a number from the control
            log.
        """
        if resource in self._wanted:
            return
        # With a number that was used before, a late release of the earlier
        # lease would end the promises for this lease.
        last = self._last_fences.get(resource, 0)
        self._wanted[resource] = _Wanted(fence=max(fence_floor, last + 1))
        self._next_request_s = 0.0

    def unwant(self, resource: str, *, successor_id: str = '') -> None:
        """Stop using a resource and release its lease at the next tick.

        Parameters
        ----------
        resource : str
            The resource.
        successor_id : str
            Only host that may acquire the lease before it would have
            expired; empty if any host may.
        """
        wanted = self._wanted.get(resource)
        if wanted is None:
            return
        self.relinquish(resource)
        self._releases.append(
            lease_message.LeaseRelease(
                resource=resource,
                fence=wanted.fence,
                successor_id=successor_id,
            )
        )
        self._next_request_s = 0.0

    def relinquish(self, resource: str) -> None:
        """Stop using a resource and let its lease expire."""
        wanted = self._wanted.pop(resource, None)
        if wanted is not None:
            self._last_fences[resource] = wanted.fence

    def held(self, resource: str, now_s: float) -> LeaseHeld | None:
        """Return the lease if it may be used now, else None."""
        wanted = self._wanted.get(resource)
        if wanted is None or wanted.since_s is None:
            return None
        until_s = self._until_s(wanted)
        if until_s is None or until_s <= now_s:
            return None
        return LeaseHeld(
            resource=resource,
            fence=wanted.fence,
            previous_fence=wanted.previous_fence,
            since_s=wanted.since_s,
            until_s=until_s,
            known_successor_id=lease_message.successor_host(
                wanted.newest_successor
            ),
            successor_id=self._noted_successor(wanted),
        )

    def set_successor(self, resource: str, successor_id: str) -> None:
        """Have the voters store which host holds the copies."""
        wanted = self._wanted.get(resource)
        if wanted is None:
            return
        if lease_message.successor_host(wanted.successor) == successor_id:
            return
        _, number = lease_message.successor_order(wanted.successor)
        wanted.successor = lease_message.successor_text(
            wanted.fence, number + 1, successor_id
        )
        self._next_request_s = 0.0

    def other_holder(self, resource: str) -> str | None:
        """Return the other holder that a voter named in a refusal, or None."""
        wanted = self._wanted.get(resource)
        if wanted is None:
            return None
        for holder_id in wanted.refused_by.values():
            if holder_id and holder_id != self._id:
                return holder_id
        return None

    def tick(
        self, now_s: float
    ) -> list[tuple[str, lease_message.LeaseRequest]]:
        """Return the requests that are due, each with its voter."""
        self._reset_expired(now_s)
        if now_s < self._next_request_s:
            return []
        self._next_request_s = now_s + self._config.renew_s
        if not self._wanted and not self._releases:
            return []
        self._number += 1
        wants = [
            lease_message.LeaseWant(
                resource=name, fence=item.fence, successor=item.successor
            )
            for name, item in self._wanted.items()
        ]
        request = lease_message.LeaseRequest(
            number=self._number,
            holder_id=self._id,
            wants=tuple(wants),
            releases=tuple(self._releases),
        )
        self._releases = []
        self._requests[self._number] = request
        self._sent_s[self._number] = now_s
        self._requests.pop(self._number - MAX_OPEN_REQUESTS, None)
        self._sent_s.pop(self._number - MAX_OPEN_REQUESTS, None)
        return [(voter_id, request) for voter_id in self._voters]

    def on_vote(self, vote: lease_message.LeaseVote, now_s: float) -> None:
        """Apply a voter's answers."""
        request = self._requests.get(vote.number)
        if request is None or vote.voter_id not in self._voters:
            return
        sent_s = self._sent_s[vote.number]
        self._note_successors(vote, request)
        for answer in vote.answers:
            self._apply(vote.voter_id, answer, sent_s, now_s)

    def _note_successors(
        self,
        vote: lease_message.LeaseVote,
        request: lease_message.LeaseRequest,
    ) -> None:
        granted = {item.resource for item in vote.answers if item.granted}
        for item in request.wants:
            wanted = self._wanted.get(item.resource)
            if wanted is None or item.resource not in granted:
                continue
            if wanted.fence == item.fence:
                wanted.noted_successors[vote.voter_id] = item.successor

    def _apply(
        self,
        voter_id: str,
        answer: lease_message.LeaseAnswer,
        sent_s: float,
        now_s: float,
    ) -> None:
        wanted = self._wanted.get(answer.resource)
        if wanted is None:
            return
        wanted.note_reported(answer.successor)
        if answer.fence != wanted.fence:
            return
        if not answer.granted:
            wanted.refused_by[voter_id] = answer.holder_id
            self._raise_fence(wanted, answer)
            return
        wanted.refused_by.pop(voter_id, None)
        if wanted.since_s is None and answer.highest_fence < wanted.fence:
            wanted.previous_fence = max(
                wanted.previous_fence, answer.highest_fence
            )
        # A promise counts from the sending of the request, since the
        # answer may arrive late.
        previous_s = wanted.promised_s.get(voter_id, sent_s)
        wanted.promised_s[voter_id] = max(previous_s, sent_s)
        until_s = self._until_s(wanted)
        if wanted.since_s is None and until_s is not None:
            if until_s > now_s:
                wanted.since_s = now_s

    def _raise_fence(
        self, wanted: _Wanted, answer: lease_message.LeaseAnswer
    ) -> None:
        if wanted.since_s is not None:
            return
        if answer.highest_fence < wanted.fence:
            return
        wanted.fence = answer.highest_fence + 1
        wanted.previous_fence = max(
            wanted.previous_fence, answer.highest_fence
        )
        wanted.promised_s.clear()
        wanted.noted_successors.clear()
        self._next_request_s = 0.0

    def _reset_expired(self, now_s: float) -> None:
        for wanted in self._wanted.values():
            if wanted.since_s is None:
                continue
            until_s = self._until_s(wanted)
            if until_s is not None and until_s > now_s:
                continue
            # Another host may have held the lease since. It must be
            # acquired again under a new number, and its user starts over.
            wanted.previous_fence = wanted.fence
            wanted.fence += 1
            wanted.since_s = None
            wanted.promised_s.clear()
            wanted.noted_successors.clear()

    def _noted_successor(self, wanted: _Wanted) -> str:
        majority = len(self._voters) // 2 + 1
        noted = list(wanted.noted_successors.values())
        if noted.count(wanted.successor) >= majority:
            return lease_message.successor_host(wanted.successor)
        return ''

    def _until_s(self, wanted: _Wanted) -> float | None:
        majority = len(self._voters) // 2 + 1
        newest = sorted(wanted.promised_s.values(), reverse=True)
        if len(newest) < majority:
            return None
        return newest[majority - 1] + self._config.use_s
