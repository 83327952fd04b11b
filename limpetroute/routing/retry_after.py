"""Estimates when the caller of a rejected stream should retry."""

import collections

# Window for counting arrivals and releases. Bursts last about four seconds; in
# less than two, there are too few streams to count.
WINDOW_S = 2.0
# Callers honor a Retry-After up to this share of their remaining time.
HONORED_SHARE = 1 / 3
# If new streams leave less than this share of the released slots for returning
# callers, the shortage is considered lasting.
MIN_SPARE_SHARE = 0.1
MIN_RETRY_AFTER_S = 0.3
# Of streams that come at random, one in twenty comes after a longer silence.
SILENT_INTERVALS = 3.0


class RetryAfterEstimator:
    """Estimates when the caller of a rejected stream should retry.

    Pattern: new streams arrive in a burst of some seconds, or a runner is
    lost. A late answer has the same value until the caller's deadline, and a
    caller retries once. If callers retried when the next slot becomes free,
    they would meet the same burst and be rejected for good. So the delay
    covers the time in which callers that were rejected before are placed along
    with the new streams. While new streams take all slots, it is the longest
    delay that callers honor.
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
        _count(self._arrivals_s, now_s)
        self._arrivals_s.append(now_s)

    def arrivals_per_s(self, now_s: float) -> float:
        """Return how many streams are sent for the first time per second.

        Once no stream has come for several usual intervals, a burst is over.
        """
        count = _count(self._arrivals_s, now_s)
        if not count:
            return 0.0
        silent_s = now_s - self._arrivals_s[-1]
        rate = count / WINDOW_S
        return min(rate, SILENT_INTERVALS / silent_s) if silent_s else rate

    def note_release(self, now_s: float) -> None:
        """Count a slot that became free."""
        _count(self._releases_s, now_s)
        self._releases_s.append(now_s)

    def retry_after_s(
        self,
        *,
        slot_wait_s: float,
        expected_returns: int,
        remaining_s: float,
        now_s: float,
    ) -> float:
        """Return the time after which a caller should retry.

        Parameters
        ----------
        slot_wait_s : float
            Time until the next free slot that is not taken by a waiting
            stream.
        expected_returns : int
            Number of rejected callers that have not retried yet.
        remaining_s : float
            Time until the caller's deadline.
        now_s : float
            Monotonic time in seconds.
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
