"""Whether waiting streams have room, asked for many at one moment."""

import math

from limpetroute.routing import decode_placement as placement_module
from limpetroute.routing import placement


class CapacityProbe:
    """Whether waiting streams have room, asked for many at one moment.

    A stream with a shorter prompt than one that fits is taken to fit, and
    one with a longer prompt than one that does not fit is not.

    Parameters
    ----------
    decode_placement : DecodePlacement
        Looks at the runners.
    now_s : float
        The moment.
    """

    def __init__(
        self,
        *,
        decode_placement: placement_module.DecodePlacement,
        now_s: float,
    ) -> None:
        self._decode_placement = decode_placement
        self._now_s = now_s
        self._fitting_tokens = -1
        self._failing_tokens = math.inf

    def __repr__(self) -> str:
        return (
            f'{type(self).__name__}(fitting_tokens={self._fitting_tokens!r}, '
            f'failing_tokens={self._failing_tokens!r})'
        )

    def has_free_runner(self, request: placement.PlacementRequest) -> bool:
        """Return whether a decode runner has room for a stream."""
        tokens = request.prefill_tokens
        if request.avoid:
            return self._decode_placement.has_free_runner(request, self._now_s)
        if tokens <= self._fitting_tokens:
            return True
        if tokens >= self._failing_tokens:
            return False
        if self._decode_placement.has_free_runner(request, self._now_s):
            self._fitting_tokens = tokens
            return True
        self._failing_tokens = tokens
        return False
