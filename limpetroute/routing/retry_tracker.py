"""Recognizes streams that callers retry after a rejection."""

import collections
import dataclasses

import sortedcontainers

from limpetroute.routing import placement
from limpetroute.routing import urgency

# Entries are kept until the caller's deadline. This limits the memory if
# thousands of streams are rejected each second (about 200 bytes each).
MAX_TRACKED = 20_000
# Window for counting the outcomes of retries, and the number of outcomes
# needed to compute a share.
OUTCOME_WINDOW_S = 8.0
MIN_OUTCOMES = 6


@dataclasses.dataclass(kw_only=True, slots=True)
class _Refused:
    first_sent_s: float
    expires_s: float
    rank: urgency.Rank
    has_returned: bool = False


class RetryTracker:
    """Recognizes streams that callers retry after a rejection.

    A retry has a new request id and may reach another host, but has the same
    prompt. Its target still counts from the first request. If it were treated
    as a new stream, it would be placed although its answer is late in any
    case, before a stream that could be on time.

    The entries are lost with the leader; retries then count as new streams.
    """

    def __init__(self) -> None:
        self._refused: dict[str, _Refused] = {}
        # Callers that have not retried yet, by the time until which a retry is
        # expected, of each rank.
        self._awaited: dict[urgency.Rank, sortedcontainers.SortedList] = {}
        self._outcomes: collections.deque[tuple[float, bool, urgency.Rank]] = (
            collections.deque()
        )

    def __repr__(self) -> str:
        return f'{type(self).__name__}(refused={len(self._refused)!r})'

    def first_sent_s(
        self, request: placement.PlacementRequest, sent_s: float, now_s: float
    ) -> float:
        """Return when the caller sent this prompt for the first time."""
        entry = self._refused.get(_key(request))
        if entry is None or now_s > entry.expires_s:
            return sent_s
        self._stop_waiting(_key(request), entry)
        return min(sent_s, entry.first_sent_s)

    def note_refused(
        self,
        request: placement.PlacementRequest,
        first_sent_s: float,
        now_s: float,
    ) -> None:
        """Record a stream that is rejected."""
        if not request.prompt_id:
            return
        self._note_outcome(request, now_s, served=False)
        self._remove(_key(request))
        refused = _Refused(
            first_sent_s=first_sent_s,
            expires_s=now_s + request.patience_s - request.waited_s,
            rank=urgency.rank_of(request),
        )
        self._refused[_key(request)] = refused
        awaited = self._awaited.setdefault(
            refused.rank, sortedcontainers.SortedList()
        )
        awaited.add((refused.expires_s, _key(request)))
        self._expire(now_s)

    def expected_returns(
        self, now_s: float, *, up_to: urgency.Rank | None = None
    ) -> int:
        """Return how many rejected callers are still expected to retry.

        Parameters
        ----------
        now_s : float
            Monotonic time in seconds.
        up_to : Rank or None
            Least urgent rank that counts; None for all.
        """
        return sum(
            len(awaited) - awaited.bisect_left((now_s, ''))
            for rank, awaited in self._awaited.items()
            if up_to is None or rank <= up_to
        )

    def note_served(
        self, request: placement.PlacementRequest, now_s: float
    ) -> None:
        """Remove a stream that was placed."""
        self._note_outcome(request, now_s, served=True)
        self._remove(_key(request))

    def served_share(
        self, now_s: float, *, rank: urgency.Rank | None = None
    ) -> float | None:
        """Return the share of recent retries that were placed.

        Returns None if there were too few retries.

        Parameters
        ----------
        now_s : float
            Monotonic time in seconds.
        rank : Rank or None
            Rank of the retries that count; None for all.
        """
        outcomes = self._outcomes
        while outcomes and now_s - outcomes[0][0] > OUTCOME_WINDOW_S:
            outcomes.popleft()
        counted = [
            served
            for _, served, other in outcomes
            if rank is None or other == rank
        ]
        if len(counted) < MIN_OUTCOMES:
            return None
        return sum(counted) / len(counted)

    def _note_outcome(
        self,
        request: placement.PlacementRequest,
        now_s: float,
        *,
        served: bool,
    ) -> None:
        entry = self._refused.get(_key(request))
        if entry is not None and entry.has_returned:
            self._outcomes.append((now_s, served, entry.rank))

    def _expire(self, now_s: float) -> None:
        """Remove the oldest entries that have expired or exceed the limit."""
        while self._refused:
            oldest = next(iter(self._refused))
            is_over = now_s > self._refused[oldest].expires_s
            if not is_over and len(self._refused) <= MAX_TRACKED:
                return
            self._remove(oldest)

    def _remove(self, key: str) -> None:
        entry = self._refused.pop(key, None)
        if entry is not None:
            self._stop_waiting(key, entry)

    def _stop_waiting(self, key: str, entry: _Refused) -> None:
        if not entry.has_returned:
            entry.has_returned = True
            awaited = self._awaited[entry.rank]
            awaited.remove((entry.expires_s, key))
            if not awaited:
                del self._awaited[entry.rank]


def _key(request: placement.PlacementRequest) -> str:
    """Return the key that identifies a prompt across requests.

    A session may send several prompts under one id; their sizes tell them
    apart.
    """
    return (
        f'{request.prompt_id} {request.prompt_tokens} '
        f'{request.most_output_tokens}'
    )
