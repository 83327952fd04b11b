"""Checks whether decode runners have free capacity for waiting streams."""

import math

from limpetroute.routing import decode_placement as placement_module
from limpetroute.routing import placement


class CapacityProbe:
    """Checks free capacity for many waiting streams at one point in time.

    Results are reused: a stream whose prompt is no longer than one that fits
    is assumed to fit, and one whose prompt is no shorter than one that does
    not fit is assumed not to fit.

    Parameters
    ----------
    decode_placement : DecodePlacement
        Checks the runners.
    now_s : float
        Monotonic time in seconds.
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
        self._room_at_limited: float | None = None

    def __repr__(self) -> str:
        return (
            f'{type(self).__name__}(fitting_tokens={self._fitting_tokens!r}, '
            f'failing_tokens={self._failing_tokens!r})'
        )

    def has_free_runner(self, request: placement.PlacementRequest) -> bool:
        """Return whether a decode runner has free capacity for a stream."""
        tokens = request.prefill_tokens
        if (
            request.avoid
            or request.blocked_until_s
            or request.version is not None
        ):
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

    def may_wait_for_limit(self, request: placement.PlacementRequest) -> bool:
        """Return whether a runner may soon take a stream as its limit grows.

        At one point in time, this holds for as many streams as these runners
        may take. All others are better off with an answer at once.
        """
        if self._room_at_limited is None:
            self._room_at_limited = self._decode_placement.room_at_limited(
                request, self._now_s
            )
        if self._room_at_limited < 1:
            return False
        self._room_at_limited -= 1
        return True
