"""How long the steps of a stream take."""

from limpetroute.routing import placement
from limpetroute.routing import stage_rates

# From a grant to the first event, beside the reading: the way to the
# entry host and two runners, the transfer, the first steps.
FIRST_EVENT_OVERHEAD_S = 0.09
# A stream that was begun is lost once its caller leaves without an event.
# A place that is given later than this before that comes too late for one:
# a third of a second, and the next step.
RESUME_MARGIN_S = 0.4
# The same for a stream that has to be read first and begins anew: a long
# prompt takes half a second, and a reader is waited for.
START_MARGIN_S = 1.2


def max_wait_s(request: placement.PlacementRequest) -> float:
    """Return how long after its last event a place is still worth giving."""
    if request.goes_on:
        return request.silence_s - RESUME_MARGIN_S
    return request.silence_s - START_MARGIN_S


def may_wait(request: placement.PlacementRequest, wait_s: float) -> bool:
    """Return whether a stream is worth beginning after another wait.

    Where nobody decides, room and a leader may come within moments; who
    waits beyond the target for them would be better off coming back. Its
    host knows no measured times, and goes by the first guess.
    """
    waited_s = request.waited_s + wait_s
    if request.goes_on:
        return waited_s < max_wait_s(request)
    prefill_s = (
        request.prefill_tokens / stage_rates.DEFAULT_PREFILL_TOKENS_PER_S
    )
    return waited_s + FIRST_EVENT_OVERHEAD_S + prefill_s < request.target_s
