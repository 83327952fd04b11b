"""Index of decode runners by the time they may prefill a prompt."""

import bisect
import math

from limpetroute.routing import fleet as fleet_module
from limpetroute.routing import prefill_queue


class SelfPrefillIndex:
    """Decode runners with free memory, and when each may prefill a prompt.

    A self-prefill is the prefill of a prompt by the decode runner itself.

    Parameters
    ----------
    prefill : PrefillQueue
        Determines when runners are free to prefill.
    fleet : Fleet
        The runners that may be used.
    now_s : float
        Monotonic time in seconds.
    """

    def __init__(
        self,
        *,
        prefill: prefill_queue.PrefillQueue,
        fleet: fleet_module.Fleet,
        now_s: float,
    ) -> None:
        self.accepts_long_prompts = False
        self._all = _EarliestByMemory()
        self._for_long_prompts = _EarliestByMemory()
        for free, runner in fleet.decode_runners.by_free_memory():
            may_prefill_long = prefill.may_prefill_long(runner)
            self.accepts_long_prompts = (
                self.accepts_long_prompts or may_prefill_long
            )
            if free <= 0:
                continue
            at_s = prefill.self_prefill_start_s(
                runner, prefill.mean_prompt_tokens, now_s
            )
            self._all.add(free, at_s)
            if may_prefill_long:
                self._for_long_prompts.add(free, at_s)

    def __repr__(self) -> str:
        return (
            f'{type(self).__name__}('
            f'accepts_long_prompts={self.accepts_long_prompts!r})'
        )

    def earliest(
        self, tokens: int, *, for_long_prompt: bool
    ) -> tuple[float, int]:
        """Return the earliest start on a runner with enough free memory.

        The second value is the number of such runners.
        """
        return (self._for_long_prompts if for_long_prompt else self._all).get(
            tokens
        )


class _EarliestByMemory:
    """Earliest start among the runners with at least some free memory."""

    def __init__(self) -> None:
        self._negated_tokens: list[float] = []
        self._earliest_s: list[float] = []

    def add(self, free_tokens: float, at_s: float) -> None:
        """Add a runner with no more free memory than those added before."""
        if self._earliest_s:
            at_s = min(at_s, self._earliest_s[-1])
        self._negated_tokens.append(-free_tokens)
        self._earliest_s.append(at_s)

    def get(self, tokens: int) -> tuple[float, int]:
        """Return the earliest time and the number of runners."""
        count = bisect.bisect_right(self._negated_tokens, -tokens)
        return (self._earliest_s[count - 1] if count else math.inf), count
