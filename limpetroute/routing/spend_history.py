"""What requests of a team used of its quota lately."""

import math

# Requests of one slot are remembered as one amount, so that neither memory
# nor the size of a report grows with the number of requests.
SLOT_S = 0.25


class SpendHistory:
    """What requests of a team used of its quota lately.

    Amounts are dropped a slot later than their window ends at most, never
    sooner.

    Parameters
    ----------
    window_s : float
        How long amounts are remembered.
    """

    __slots__ = ('_first', '_slots', '_total', '_window_s')

    def __init__(self, *, window_s: float) -> None:
        self._window_s = window_s
        self._slots: dict[int, float] = {}
        self._total = 0.0
        # Slots before this one are dropped.
        self._first = 0

    def __repr__(self) -> str:
        return f'{type(self).__name__}(slots={len(self._slots)!r})'

    def __bool__(self) -> bool:
        return bool(self._slots)

    def add(self, units: float, spent_s: float) -> None:
        """Add an amount at a time; a negative one was given back."""
        slot = math.floor(spent_s / SLOT_S)
        if slot < self._first:
            return
        self._slots[slot] = self._slots.get(slot, 0.0) + units
        self._total += units

    def total(self, now_s: float) -> float:
        """Return the sum of the amounts in the window."""
        self._expire(now_s)
        return max(0.0, self._total)

    def wait_s(self, units: float, now_s: float) -> float:
        """Return the time until so many units have left the window."""
        self._expire(now_s)
        for slot in sorted(self._slots):
            units -= self._slots[slot]
            if units <= 0.0:
                leaves_s = (slot + 1) * SLOT_S + self._window_s
                return max(0.0, leaves_s - now_s)
        return self._window_s

    def by_age(self, now_s: float) -> list[tuple[float, float]]:
        """Return age in seconds and amount, the oldest first.

        Ages are those of the end of a slot, so that no amount is taken
        for older than it is.
        """
        self._expire(now_s)
        return [
            (max(0.0, now_s - (slot + 1) * SLOT_S), units)
            for slot, units in sorted(self._slots.items())
        ]

    def _expire(self, now_s: float) -> None:
        first = math.floor((now_s - self._window_s) / SLOT_S)
        if first <= self._first:
            return
        self._first = first
        for slot in [slot for slot in self._slots if slot < first]:
            del self._slots[slot]
        # Summed anew, so that rounding errors do not add up.
        self._total = math.fsum(self._slots.values())
