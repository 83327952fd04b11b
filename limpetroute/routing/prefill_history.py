"""Which prompts runners have read lately."""

import collections

from limpetroute.routing import placement

# Bounds the memory; far more prompts than runners keep in their caches.
MAX_ENTRIES = 10_000


class PrefillHistory:
    """Which prompts runners have read lately.

    A prompt that a runner reads again is mostly in its cache, and takes
    a hundredth of the time.
    """

    def __init__(self) -> None:
        self._known: collections.OrderedDict[tuple[str, str], None] = (
            collections.OrderedDict()
        )

    def __repr__(self) -> str:
        return f'{type(self).__name__}(known={len(self._known)!r})'

    def note(
        self, runner_id: str, request: placement.PlacementRequest
    ) -> bool:
        """Take note of a prompt; return whether it was read there before."""
        if not request.prompt_id:
            return False
        key = (runner_id, f'{request.prompt_id} {request.prompt_tokens}')
        was_known = key in self._known
        self._known[key] = None
        self._known.move_to_end(key)
        if len(self._known) > MAX_ENTRIES:
            self._known.popitem(last=False)
        return was_known

    def reset_runner(self, runner_id: str) -> None:
        """Forget what a runner has read; it has started again."""
        for key in [one for one in self._known if one[0] == runner_id]:
            del self._known[key]
