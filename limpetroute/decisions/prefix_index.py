"""Where a prompt's prefix is probably cached.

Load pattern: a few prefixes that most prompts share. Without it, each
runner reads the same wording again. Cache events come late and with
gaps, so an entry is worth less the older it is (half after
`HALF_LIFE_S`), and the figure is corrected by what prefills then found
cached. What we sent to a runner counts as cached there at once: the
event would come a second later.
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
    """Expected cached tokens by runner."""

    __slots__ = ('_by_block', '_by_runner', 'accuracy')

    def __init__(self) -> None:
        self._by_block: dict[int, dict[str, float]] = {}
        self._by_runner: dict[str, collections.OrderedDict[int, None]] = {}
        self.accuracy = smoothed.Smoothed(prior=1.0, weight=ACCURACY_WEIGHT)

    def add(
        self, runner_id: str, blocks: typing.Iterable[int], now_s: float
    ) -> None:
        """Note blocks held by a runner."""
        held = self._by_runner.setdefault(runner_id, collections.OrderedDict())
        for block in blocks:
            held[block] = None
            held.move_to_end(block)
            self._by_block.setdefault(block, {})[runner_id] = now_s
        while len(held) > MAX_BLOCKS_PER_RUNNER:
            block, _ = held.popitem(last=False)
            self._drop(runner_id, block)

    def remove(self, runner_id: str, blocks: typing.Iterable[int]) -> None:
        """Note blocks no longer held."""
        held = self._by_runner.get(runner_id)
        if held is None:
            return
        for block in blocks:
            if block in held:
                del held[block]
                self._drop(runner_id, block)

    def remove_runner(self, runner_id: str) -> None:
        """Drop all of a runner that is gone."""
        for block in self._by_runner.pop(runner_id, ()):
            self._drop(runner_id, block)

    def holders(self, blocks: typing.Sequence[int]) -> list[str]:
        """Return a few runners that hold the longest known prefix."""
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
        """Return how many leading tokens a runner has, on average."""
        depth = self._depth(blocks, runner_id)
        if depth == 0:
            return 0.0
        age_s = now_s - self._by_block[blocks[depth - 1]][runner_id]
        trust = 0.5 ** (age_s / HALF_LIFE_S) * min(1.0, self.accuracy.value)
        return depth * BLOCK_TOKENS * trust

    def record_accuracy(
        self, expected_tokens: float, cached_tokens: int
    ) -> None:
        """Learn from what a prefill found cached."""
        if expected_tokens >= BLOCK_TOKENS:
            self.accuracy.add(min(1.0, cached_tokens / expected_tokens))

    def _depth(
        self, blocks: typing.Sequence[int], runner_id: str | None
    ) -> int:
        # Each hash covers all blocks before it, so holding is monotone
        # but for gaps in the events, and halving finds its end.
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
