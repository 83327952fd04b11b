"""Measures how fast the queue of one model drains.

Load pattern: any. The bottleneck may be prefill time, decode slots or
KV memory, and other hosts use a part of each. Rather than model all of
them, this module measures the result: the cost taken from the queue,
divided by the time during which requests waited. A rate of 1 means that
this host has the whole fleet to itself and that the cost model names
the true bottleneck.
"""

WINDOW_S = 5.0
PRIOR_S = 0.5
MIN_RATE = 0.02
MAX_RATE = 4.0
MAX_ELAPSED_S = 1.0


class DrainRate:
    """Cost per second that leaves the queue, measured while it waits."""

    __slots__ = ('_cost_s', '_time_s', '_waiting_since_s')

    def __init__(self) -> None:
        self._cost_s = PRIOR_S
        self._time_s = PRIOR_S
        self._waiting_since_s: float | None = None

    @property
    def value(self) -> float:
        """Cost that leaves the queue per second."""
        rate = self._cost_s / max(1e-9, self._time_s)
        return min(MAX_RATE, max(MIN_RATE, rate))

    def record_taken(
        self, cost_s: float, now_s: float, *, waiting: bool
    ) -> None:
        """Count a request taken from the queue.

        Parameters
        ----------
        cost_s : float
            Cost of the request.
        waiting : bool
            Whether the queue still holds requests.
        """
        if self._waiting_since_s is not None:
            self._decay(now_s - self._waiting_since_s)
            self._cost_s += cost_s
        self._waiting_since_s = now_s if waiting else None

    def start_waiting(self, now_s: float) -> None:
        """Note that the queue holds requests from now on."""
        if self._waiting_since_s is None:
            self._waiting_since_s = now_s

    def stop_waiting(self) -> None:
        """Note that the queue is empty."""
        self._waiting_since_s = None

    def _decay(self, elapsed_s: float) -> None:
        # While all runners of a model are down, nothing drains. Ten such
        # seconds counted in full kept admission closed long after the
        # runners were back, because a closed queue yields no samples.
        elapsed_s = min(elapsed_s, MAX_ELAPSED_S)
        keep = max(0.0, 1 - elapsed_s / WINDOW_S)
        self._cost_s *= keep
        self._time_s = self._time_s * keep + elapsed_s
