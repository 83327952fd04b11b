"""How long the steps of a stream take."""

from limpetroute.routing import stream_ask

PREFILL_TOKENS_PER_S = 50_000.0
# A decode runner reads at half the speed, between the tokens of others.
SELF_READ_TOKENS_PER_S = 25_000.0
# From a grant to the first event, beside the reading: the way to the
# entry host and two runners, the transfer, the first steps.
OVERHEAD_S = 0.09
# A stream that was begun is lost once its caller leaves, after 3.6 s
# without an event.
LONGEST_PAUSE_S = 3.2


def to_first_event_s(ask: stream_ask.StreamAsk, *, has_reader: bool) -> float:
    """Return the time from a grant to the first event."""
    rate = PREFILL_TOKENS_PER_S if has_reader else SELF_READ_TOKENS_PER_S
    return OVERHEAD_S + ask.tokens_to_read / rate


def may_wait(ask: stream_ask.StreamAsk, wait_s: float) -> bool:
    """Return whether a stream is worth beginning after another wait.

    Where nobody decides, room and a leader may come within moments; who
    waits beyond the target for them would be better off coming back.
    """
    waited_s = ask.waited_s + wait_s
    if ask.goes_on:
        return waited_s < LONGEST_PAUSE_S
    return waited_s + to_first_event_s(ask, has_reader=True) < ask.target_s
