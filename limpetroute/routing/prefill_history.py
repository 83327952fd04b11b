"""Records which prompts runners have prefilled recently."""

import collections

from limpetroute.routing import placement

# Limits memory use. Runners keep far fewer prompts in their caches.
MAX_ENTRIES = 10_000


class PrefillHistory:
    """Records which prompts runners have prefilled recently.

    A prompt that a runner prefills again is mostly in its prefix cache, and
    takes a hundredth of the time.
    """

    def __init__(self) -> None:
        self._prompts: collections.OrderedDict[tuple[str, str], None] = (
            collections.OrderedDict()
        )

    def __repr__(self) -> str:
        return f'{type(self).__name__}(prompts={len(self._prompts)!r})'

    def note(
        self, runner_id: str, request: placement.PlacementRequest
    ) -> bool:
        """Record a prompt and return whether the runner had prefilled it."""
        if not request.prompt_id:
            return False
        key = (runner_id, f'{request.prompt_id} {request.prompt_tokens}')
        was_known = key in self._prompts
        self._prompts[key] = None
        self._prompts.move_to_end(key)
        if len(self._prompts) > MAX_ENTRIES:
            self._prompts.popitem(last=False)
        return was_known

    def reset_runner(self, runner_id: str) -> None:
        """Drop the entries of a runner that has restarted."""
        for key in [one for one in self._prompts if one[0] == runner_id]:
            del self._prompts[key]
