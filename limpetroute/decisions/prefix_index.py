"""Index of the runners that probably have a prompt's prefix cached.

Load pattern: a few prefixes that most prompts share. Without the index
each runner prefills the same prefixes again. Cache events arrive late
and some are lost, so the weight of an entry halves every `HALF_LIFE_S`,
and the expected number of cached tokens is corrected by what prefills
actually found cached. A prompt that this host prefilled on a runner
counts as cached there at once; its cache event arrives about a second
later.
"""

import collections
import typing

from limpetroute.decisions import prefix
from limpetroute.decisions import smoothed

BLOCK_TOKENS = prefix.BLOCK_BYTES // prefix.BYTES_PER_TOKEN
HALF_LIFE_S = 60.0
MAX_BLOCKS_PER_RUNNER = 20000
ACCURACY_WEIGHT = 0.05
MAX_HOLDERS = 4


class PrefixIndex:
    """Expected number of cached prompt tokens on each runner."""

    __slots__ = ('_by_block', '_by_runner', 'accuracy')

    def __init__(self) -> None:
        self._by_block: dict[int, dict[str, float]] = {}
        self._by_runner: dict[str, collections.OrderedDict[int, None]] = {}
        self.accuracy = smoothed.Smoothed(prior=1.0, weight=ACCURACY_WEIGHT)

    def add(
        self, runner_id: str, blocks: typing.Iterable[int], now_s: float
    ) -> None:
        """Add blocks that a runner has cached."""
        cached = self._by_runner.setdefault(
            runner_id, collections.OrderedDict()
        )
        for block in blocks:
            cached[block] = None
            cached.move_to_end(block)
            self._by_block.setdefault(block, {})[runner_id] = now_s
        while len(cached) > MAX_BLOCKS_PER_RUNNER:
            block, _ = cached.popitem(last=False)
            self._drop(runner_id, block)

    def remove(self, runner_id: str, blocks: typing.Iterable[int]) -> None:
        """Remove blocks that a runner has evicted."""
        cached = self._by_runner.get(runner_id)
        if cached is None:
            return
        for block in blocks:
            if block in cached:
                del cached[block]
                self._drop(runner_id, block)

    def remove_runner(self, runner_id: str) -> None:
        """Remove all blocks of a runner that is gone or restarted."""
        for block in self._by_runner.pop(runner_id, ()):
            self._drop(runner_id, block)

    def holders(self, blocks: typing.Sequence[int]) -> list[str]:
        """Return a few runners that have the longest cached prefix."""
        depth = self._depth(blocks, None)
        if depth == 0:
            return []
        found = self._by_block[blocks[depth - 1]]
        names = []
        for runner_id in found:
            names.append(runner_id)
            if len(names) == MAX_HOLDERS:
                break
        return names

    def expected_tokens(
        self, runner_id: str, blocks: typing.Sequence[int], now_s: float
    ) -> float:
        """Return the expected number of leading tokens a runner has cached.

        The number is scaled by the age of the entry and by the accuracy
        of earlier expectations.
        """
        depth = self._depth(blocks, runner_id)
        if depth == 0:
            return 0.0
        age_s = now_s - self._by_block[blocks[depth - 1]][runner_id]
        trust = 0.5 ** (age_s / HALF_LIFE_S) * min(1.0, self.accuracy.value)
        return depth * BLOCK_TOKENS * trust

    def record_accuracy(
        self, expected_tokens: float, cached_tokens: int
    ) -> None:
        """Update the accuracy from the tokens a prefill found cached."""
        if expected_tokens >= BLOCK_TOKENS:
            self.accuracy.add(min(1.0, cached_tokens / expected_tokens))

    def _depth(
        self, blocks: typing.Sequence[int], runner_id: str | None
    ) -> int:
        # Each hash covers all blocks before it, so a cached block implies
        # that the blocks before it are cached (except for lost events),
        # and a binary search finds the end of the prefix.
        if not blocks:
            return 0
        low = 0
        high = len(blocks)
        while low < high:
            middle = (low + high + 1) // 2
            holders = self._by_block.get(blocks[middle - 1])
            if holders and (runner_id is None or runner_id in holders):
                low = middle
                continue
            high = middle - 1
        return low

    def _drop(self, runner_id: str, block: int) -> None:
        holders = self._by_block.get(block)
        if holders is None:
            return
        holders.pop(runner_id, None)
        if not holders:
            del self._by_block[block]
