"""Durations of the steps of a stream."""

from limpetroute.routing import placement
from limpetroute.routing import stage_rates

# Time from a placement to the first event without the prefill: the network
# delay to the entry host and two runners, the KV transfer and the first decode
# steps.
FIRST_EVENT_OVERHEAD_S = 0.09
# A resumed stream is lost if its caller disconnects before the next event. A
# placement must come at least this long before that: a third of a second for
# the stream to resume, and the next decode step.
RESUME_MARGIN_S = 0.4
# The same margin for a stream that starts with a prefill: a long prompt takes
# half a second, after a wait for a prefill runner.
START_MARGIN_S = 1.2


def max_wait_s(request: placement.PlacementRequest) -> float:
    """Return the longest time since the last event for a useful placement."""
    if request.goes_on:
        return request.silence_s - RESUME_MARGIN_S
    return request.silence_s - START_MARGIN_S


def may_wait(request: placement.PlacementRequest, wait_s: float) -> bool:
    """Return whether a stream is still worth starting after another wait.

    Without a leader, capacity or a new leader may appear within moments. If a
    stream would wait beyond its target, its caller had better retry. The host
    has no measured times, so it uses the default prefill speed.
    """
    waited_s = request.waited_s + wait_s
    if request.goes_on:
        most_s = request.patience_s - RESUME_MARGIN_S
        return waited_s < min(max_wait_s(request), most_s)
    prefill_s = (
        request.prefill_tokens / stage_rates.DEFAULT_PREFILL_TOKENS_PER_S
    )
    return waited_s + FIRST_EVENT_OVERHEAD_S + prefill_s < request.target_s
