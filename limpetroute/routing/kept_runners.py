"""Keeps runners free for waiting streams in one scheduling pass."""

import typing

from limpetroute.routing import free_memory_index
from limpetroute.routing import waiting_stream

# Once this many runners are kept, no stream behind is placed in the pass. In a
# large fleet, a pass would otherwise check each of a thousand streams.
MAX_KEPT = 64


class KeptRunners:
    """Keeps runners free for waiting streams in one scheduling pass.

    Pattern: a large urgent stream fits no runner. If less urgent streams took
    whatever becomes free, it would wait until it is late. If all capacity were
    kept free for it, they would wait although other runners could take them.

    Each stream keeps the runner with the most free memory that is not kept
    yet. The usable runners must stay the same during the pass.

    Parameters
    ----------
    decode_runners : FreeMemoryIndex
        The usable decode runners.
    """

    def __init__(
        self, *, decode_runners: free_memory_index.FreeMemoryIndex
    ) -> None:
        self._decode_runners = decode_runners
        self._most_kept = min(MAX_KEPT, len(decode_runners))
        # Runners to keep once the streams of the current group are over.
        self._wanted_by_group = 0
        # Runners that may still be kept from the groups behind this one. If
        # there are none, these groups are not placed in this pass.
        self.left = self._most_kept
        # Whether the streams behind are not placed in this pass.
        self.has_all = not self._most_kept
        self.runner_ids: set[str] = set()

    def __repr__(self) -> str:
        return f'{type(self).__name__}(runner_ids={self.runner_ids!r})'

    def until_all_kept(
        self, groups: typing.Iterable[list[waiting_stream.WaitingStream]]
    ) -> typing.Iterator[list[waiting_stream.WaitingStream]]:
        """Yield the groups of streams until enough runners are kept."""
        for streams in groups:
            if self.left <= 0:
                return
            while self._wanted_by_group:
                self._wanted_by_group -= 1
                self._keep_next()
            yield streams

    def keep(self, has_waited: bool) -> None:
        """Keep a runner free for a stream, from the groups behind its own.

        If it has waited for some time, the runner is kept from all streams
        behind it.
        """
        self.left -= 1
        if has_waited:
            self._keep_next()
        else:
            self._wanted_by_group += 1

    def _keep_next(self) -> None:
        # All runners before this position are kept. A placement during the
        # pass only moves a runner behind it.
        position = len(self.runner_ids)
        if position < self._most_kept:
            runner = self._decode_runners.at(position)
            self.runner_ids.add(runner.runner_id)
            self.has_all = position + 1 == self._most_kept
