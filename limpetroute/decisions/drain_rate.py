"""How fast the queue of one model drains.

Load pattern: any; the bottleneck may be prefill time, slots or KV
memory, and other hosts take a part of each. Rather than model them
all, this measures what they leave: cost taken from the queue over the
time in which work waited. A value of 1 means that this host has the
whole fleet and no better bottleneck was overlooked.
"""

WINDOW_S = 5.0
PRIOR_S = 0.5
MIN_RATE = 0.02
MAX_RATE = 4.0
MAX_ELAPSED_S = 1.0


class DrainRate:
    """Cost per second, learned while work waits."""

    __slots__ = ('_cost_s', '_time_s', '_waiting_since_s')

    def __init__(self) -> None:
        self._cost_s = PRIOR_S
        self._time_s = PRIOR_S
        self._waiting_since_s: float | None = None

    @property
    def value(self) -> float:
        """Cost taken a second."""
        rate = self._cost_s / max(1e-9, self._time_s)
        return min(MAX_RATE, max(MIN_RATE, rate))

    def record_taken(
        self, cost_s: float, now_s: float, *, waiting: bool
    ) -> None:
        """Count work taken; ``waiting`` tells whether more waits."""
        if self._waiting_since_s is not None:
            self._decay(now_s - self._waiting_since_s)
            self._cost_s += cost_s
        self._waiting_since_s = now_s if waiting else None

    def start_waiting(self, now_s: float) -> None:
        """Note that work has begun to wait."""
        if self._waiting_since_s is None:
            self._waiting_since_s = now_s

    def stop_waiting(self) -> None:
        """Note that no work waits, for other reasons than `took`."""
        self._waiting_since_s = None

    def _decay(self, elapsed_s: float) -> None:
        # While all runners of a model are dead nothing drains. Counted
        # in full, ten such seconds kept the queue shut long after they
        # were back, as a shut queue teaches nothing new.
        elapsed_s = min(elapsed_s, MAX_ELAPSED_S)
        keep = max(0.0, 1 - elapsed_s / WINDOW_S)
        self._cost_s *= keep
        self._time_s = self._time_s * keep + elapsed_s
