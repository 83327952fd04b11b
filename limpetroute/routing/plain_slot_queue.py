"""Queue of the plain requests that wait for a slot."""

import dataclasses
import itertools
import math
import typing

import sortedcontainers

from limpetroute.routing import plain_slot_request

# One grant in this many goes to the earliest target of all, so that no rank
# starves.
MIN_SHARE_EVERY = 10
# Share of the target that is kept for the spread of answer times: a request
# that is served at the last moment is late half of the time.
TARGET_MARGIN = 0.1
# Time over which arrivals are counted; bursts begin within a second.
ARRIVALS_S = 0.5

# Priority, and whether the target can no longer be met.
Rank = tuple[int, bool]
# Due time, number and identity of a request.
_Entry = tuple[float, int, str]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class WaitingRequest:
    """A request in the queue.

    Parameters
    ----------
    request : PlainSlotRequest
        The request.
    arrived_s : float
        When it arrived at the leader.
    due_s : float
        When its target is over.
    deadline_s : float
        When its caller gives up.
    """

    request: plain_slot_request.PlainSlotRequest
    arrived_s: float
    due_s: float
    deadline_s: float

    def rank(self, answer_at_s: float) -> Rank:
        """Return its rank if the answer would come at a time."""
        aim_s = self.due_s - TARGET_MARGIN * self.request.target_s
        return (self.request.priority, answer_at_s > aim_s)


class _ArrivalRate:
    __slots__ = ('_noted_s', '_per_s')

    def __init__(self) -> None:
        self._per_s = 0.0
        self._noted_s = 0.0

    def note(self, now_s: float) -> None:
        self._per_s = self.per_s(now_s) + 1.0 / ARRIVALS_S
        self._noted_s = now_s

    def per_s(self, now_s: float) -> float:
        if not self._per_s:
            return 0.0
        return self._per_s * math.exp((self._noted_s - now_s) / ARRIVALS_S)


class PlainSlotQueue:
    """Queue of the plain requests that wait for a slot.

    More urgent requests go first; within a priority, those that can still
    meet their target, and then by earliest target. In the order of targets
    alone, a load above the capacity would make every request late.
    """

    def __init__(self) -> None:
        self._waiting: dict[str, WaitingRequest] = {}
        self._entries: dict[str, tuple[Rank, _Entry]] = {}
        self._ranks: dict[Rank, sortedcontainers.SortedList] = {}
        self._arrivals: dict[Rank, _ArrivalRate] = {}
        self._numbers = itertools.count()
        self._taken = 0

    def __repr__(self) -> str:
        return f'{type(self).__name__}(waiting={len(self._waiting)!r})'

    def __len__(self) -> int:
        return len(self._waiting)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._waiting

    def note_arrival(self, rank: Rank, now_s: float) -> None:
        """Count a request that arrived, also if it does not wait."""
        rate = self._arrivals.get(rank)
        if rate is None:
            rate = self._arrivals[rank] = _ArrivalRate()
        rate.note(now_s)

    def add(self, waiting: WaitingRequest, rank: Rank) -> None:
        """Add a request."""
        request_id = waiting.request.request_id
        self.remove(request_id)
        entry = (waiting.due_s, next(self._numbers), request_id)
        self._waiting[request_id] = waiting
        self._insert(rank, entry)

    def remove(self, request_id: str) -> WaitingRequest | None:
        """Remove and return a request; None if it does not wait."""
        waiting = self._waiting.pop(request_id, None)
        if waiting is not None:
            self._detach(request_id)
        return waiting

    def in_order(self) -> typing.Iterator[WaitingRequest]:
        """Return the requests in the order in which they get slots."""
        if self._taken % MIN_SHARE_EVERY == MIN_SHARE_EVERY - 1:
            heads = [entries[0] for entries in self._ranks.values()]
            if heads:
                yield self._waiting[min(heads)[-1]]
        for rank in sorted(self._ranks):
            for entry in self._ranks[rank]:
                yield self._waiting[entry[-1]]

    def from_last(self) -> typing.Iterator[tuple[WaitingRequest, Rank]]:
        """Return the requests and their ranks, those served last first."""
        for rank in sorted(self._ranks, reverse=True):
            for entry in reversed(self._ranks[rank]):
                yield self._waiting[entry[-1]], rank

    def note_taken(self) -> None:
        """Count a request that got a slot after it had waited."""
        self._taken += 1

    def wait_s(
        self, rank: Rank, due_s: float, *, rate_per_s: float, now_s: float
    ) -> float:
        """Return how long a request would wait.

        Parameters
        ----------
        rank : tuple
            Its rank.
        due_s : float
            When its target is over.
        rate_per_s : float
            Requests that all runners serve in a second.
        now_s : float
            Monotonic time in seconds.
        """
        ahead = 0
        earlier = 0
        for other, entries in self._ranks.items():
            before = entries.bisect_left((due_s,))
            earlier += before
            if other < rank:
                ahead += len(entries)
            elif other == rank:
                ahead += before
        arrivals_per_s = sum(
            rate.per_s(now_s)
            for other, rate in self._arrivals.items()
            if other < rank
        )
        shared_per_s = rate_per_s / MIN_SHARE_EVERY
        spare_per_s = max(shared_per_s, rate_per_s - arrivals_per_s)
        return min(
            (ahead + 1) / spare_per_s,
            (earlier + 1) / shared_per_s,
        )

    def demote_late(self, answer_at_s: float) -> None:
        """Move the requests that can no longer meet their target.

        Parameters
        ----------
        answer_at_s : float
            When the answer of a request that gets a slot now would come.
        """
        for rank in list(self._ranks):
            entries = self._ranks.get(rank)
            while entries and not rank[1]:
                entry = entries[0]
                late = self._waiting[entry[-1]].rank(answer_at_s)
                if late == rank:
                    break
                self._detach(entry[-1])
                self._insert(late, entry)

    def _insert(self, rank: Rank, entry: _Entry) -> None:
        entries = self._ranks.get(rank)
        if entries is None:
            entries = self._ranks[rank] = sortedcontainers.SortedList()
        entries.add(entry)
        self._entries[entry[-1]] = (rank, entry)

    def _detach(self, request_id: str) -> None:
        rank, entry = self._entries.pop(request_id)
        entries = self._ranks[rank]
        entries.remove(entry)
        if not entries:
            del self._ranks[rank]
