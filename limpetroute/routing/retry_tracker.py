"""Knows streams that come back after a refusal."""

import collections
import dataclasses

import sortedcontainers

from limpetroute.routing import placement

# Callers forget nothing sooner than their patience ends; this bounds the
# memory where thousands are refused each second (about 200 bytes each).
MAX_TRACKED = 20_000
# What became of callers who came back is counted over this time, and from
# so many on.
OUTCOME_WINDOW_S = 8.0
MIN_OUTCOMES = 6


@dataclasses.dataclass(kw_only=True, slots=True)
class _Refused:
    first_sent_s: float
    expires_s: float
    has_returned: bool = False


class RetryTracker:
    """Knows streams that come back after a refusal.

    A caller that comes back has a new request id, and comes to another
    host. What stays is its prompt. Its target still counts from the
    first time it asked: taken for a new stream, it would get a place in
    which its answer is late anyway, before one that could be in time.

    What is known is lost with the leader; whoever comes back then counts
    as new.
    """

    def __init__(self) -> None:
        self._refused: dict[str, _Refused] = {}
        # Those who are not back yet, by when they are not waited for.
        self._awaited = sortedcontainers.SortedList()
        self._outcomes: collections.deque[tuple[float, bool]] = (
            collections.deque()
        )

    def __repr__(self) -> str:
        return f'{type(self).__name__}(known={len(self._refused)!r})'

    def first_sent_s(
        self, request: placement.PlacementRequest, sent_s: float, now_s: float
    ) -> float:
        """Return when a stream's caller asked for the first time."""
        known = self._refused.get(_key(request))
        if known is None or now_s > known.expires_s:
            return sent_s
        self._stop_waiting(_key(request), known)
        return min(sent_s, known.first_sent_s)

    def note_refused(
        self,
        request: placement.PlacementRequest,
        first_sent_s: float,
        now_s: float,
    ) -> None:
        """Take note of a stream that is refused."""
        if not request.prompt_id:
            return
        self._note_outcome(request, now_s, served=False)
        self._remove(_key(request))
        refused = _Refused(
            first_sent_s=first_sent_s,
            expires_s=now_s + request.patience_s - request.waited_s,
        )
        self._refused[_key(request)] = refused
        self._awaited.add((refused.expires_s, _key(request)))
        self._expire(now_s)

    def expected_returns(self, now_s: float) -> int:
        """Return how many callers have yet to come back."""
        over = self._awaited.bisect_left((now_s, ''))
        return len(self._awaited) - over

    def note_served(
        self, request: placement.PlacementRequest, now_s: float
    ) -> None:
        """Forget a stream that got a place."""
        self._note_outcome(request, now_s, served=True)
        self._remove(_key(request))

    def served_share(self, now_s: float) -> float | None:
        """Return which part of those who came back of late got a place.

        None while too few came.
        """
        outcomes = self._outcomes
        while outcomes and now_s - outcomes[0][0] > OUTCOME_WINDOW_S:
            outcomes.popleft()
        if len(outcomes) < MIN_OUTCOMES:
            return None
        return sum(served for _, served in outcomes) / len(outcomes)

    def _note_outcome(
        self,
        request: placement.PlacementRequest,
        now_s: float,
        *,
        served: bool,
    ) -> None:
        known = self._refused.get(_key(request))
        if known is not None and known.has_returned:
            self._outcomes.append((now_s, served))

    def _expire(self, now_s: float) -> None:
        """Drop the oldest ones that are over, or too many."""
        while self._refused:
            oldest = next(iter(self._refused))
            is_over = now_s > self._refused[oldest].expires_s
            if not is_over and len(self._refused) <= MAX_TRACKED:
                return
            self._remove(oldest)

    def _remove(self, key: str) -> None:
        known = self._refused.pop(key, None)
        if known is not None:
            self._stop_waiting(key, known)

    def _stop_waiting(self, key: str, known: _Refused) -> None:
        if not known.has_returned:
            known.has_returned = True
            self._awaited.remove((known.expires_s, key))


def _key(request: placement.PlacementRequest) -> str:
    """Return what names a prompt, whoever asks for it again.

    A session may send several prompts under one name; their sizes tell
    them apart.
    """
    return (
        f'{request.prompt_id} {request.prompt_tokens} '
        f'{request.most_output_tokens}'
    )
