"""When a refused stream's caller should come back."""

import collections

# Rates are counted over this time: bursts last some four seconds, and
# with less than two, the few streams in it say nothing.
WINDOW_S = 2.0
# Callers keep to a time of up to this part of what they have left.
HONORED_SHARE = 1 / 3
# With less than this part of the places that become free left for who
# comes back, the shortage is taken to last.
MIN_SPARE_SHARE = 0.1
MIN_RETRY_AFTER_S = 0.3


class RetryAfterEstimator:
    """When a refused stream's caller should come back.

    Pattern: a burst of new streams for some seconds, or a runner lost.
    A late answer is worth the same until its caller's deadline, and a
    caller comes back once. Told to come when the next place becomes
    free, callers meet the same burst and are refused for good. So they
    are told the time at which those told before them have been let in
    beside the new streams; and, while nothing is left beside these, the
    latest that callers keep to.
    """

    def __init__(self) -> None:
        self._arrivals_s: collections.deque[float] = collections.deque()
        self._releases_s: collections.deque[float] = collections.deque()

    def __repr__(self) -> str:
        return (
            f'{type(self).__name__}(arrivals={len(self._arrivals_s)!r}, '
            f'releases={len(self._releases_s)!r})'
        )

    def note_arrival(self, now_s: float) -> None:
        """Count a stream that its caller sent for the first time."""
        self._arrivals_s.append(now_s)

    def note_release(self, now_s: float) -> None:
        """Count a place that became free."""
        self._releases_s.append(now_s)

    def retry_after_s(
        self,
        *,
        slot_wait_s: float,
        expected_returns: int,
        remaining_s: float,
        now_s: float,
    ) -> float:
        """Return the time after which a caller should come back.

        Parameters
        ----------
        place_s : float
            Time until the next place that is not yet meant for another.
        expected_back : int
            Callers that were told to come back and have not.
        patience_s : float
            Time that the caller has left.
        now_s : float
            A steady clock.
        """
        latest_s = max(MIN_RETRY_AFTER_S, remaining_s * HONORED_SHARE)
        released = _count(self._releases_s, now_s)
        spare = released - _count(self._arrivals_s, now_s)
        if spare <= released * MIN_SPARE_SHARE:
            return latest_s
        wait_s = slot_wait_s + expected_returns * WINDOW_S / spare
        return min(latest_s, max(MIN_RETRY_AFTER_S, wait_s))


def _count(times_s: collections.deque[float], now_s: float) -> int:
    while times_s and now_s - times_s[0] > WINDOW_S:
        times_s.popleft()
    return len(times_s)
