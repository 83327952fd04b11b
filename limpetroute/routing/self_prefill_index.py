"""When decode runners may read prompts themselves."""

import bisect
import math

from limpetroute.routing import fleet as fleet_module
from limpetroute.routing import prefill_queue


class SelfPrefillIndex:
    """The decode runners with room, and when each may read a prompt.

    Parameters
    ----------
    prefill : PrefillQueue
        When runners may read.
    fleet : Fleet
        The runners that are used now.
    now_s : float
        A steady clock.
    """

    def __init__(
        self,
        *,
        prefill: prefill_queue.PrefillQueue,
        fleet: fleet_module.Fleet,
        now_s: float,
    ) -> None:
        self.has_quiet = False
        self._all = _Soonest()
        self._quiet = _Soonest()
        for free, runner in fleet.decode_runners.by_free_memory():
            is_quiet = prefill.may_prefill_long(runner)
            self.has_quiet = self.has_quiet or is_quiet
            if free <= 0:
                continue
            at_s = prefill.self_prefill_free_s(runner, now_s)
            self._all.add(free, at_s)
            if is_quiet:
                self._quiet.add(free, at_s)

    def __repr__(self) -> str:
        return f'{type(self).__name__}(has_quiet={self.has_quiet!r})'

    def soonest(self, tokens: int, *, only_quiet: bool) -> tuple[float, int]:
        """Return when the first with room may read, and how many have it."""
        return (self._quiet if only_quiet else self._all).get(tokens)


class _Soonest:
    """The soonest time of runners with so much memory free."""

    def __init__(self) -> None:
        self._negated: list[float] = []
        self._soonest_s: list[float] = []

    def add(self, free_tokens: float, at_s: float) -> None:
        """Add a runner with no more memory free than those before it."""
        if self._soonest_s:
            at_s = min(at_s, self._soonest_s[-1])
        self._negated.append(-free_tokens)
        self._soonest_s.append(at_s)

    def get(self, tokens: int) -> tuple[float, int]:
        """Return the soonest time and the number of runners."""
        count = bisect.bisect_right(self._negated, -tokens)
        return (self._soonest_s[count - 1] if count else math.inf), count
