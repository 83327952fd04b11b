"""Decides which requests a host still accepts while it shuts down."""

# Streams go at half of their service's mean speed at a slower runner, at a
# full one and beside prompts that their runner prefills itself.
SPEED_MARGIN = 2.0
# Time from a stream's arrival to its first event if it need not wait.
FIRST_EVENT_S = 0.6
# Time to write the answer of a call that uses all of its time.
ANSWER_MARGIN_S = 0.2


def call_ends_in_time(*, limit_s: float, remaining_s: float) -> bool:
    """Return whether a plain call is sure to end before this host stops.

    A call that is cut off may have run, so that its caller cannot repeat it.
    What is refused before it is sent can go to another host at once.

    Parameters
    ----------
    limit_s : float
        Time after which the call is answered in any case: what is left of
        the route's timeout and of the caller's deadline.
    remaining_s : float
        Time until this host closes all connections.
    """
    return limit_s + ANSWER_MARGIN_S <= remaining_s


def stream_s(*, max_tokens: int, tokens_per_s: float) -> float:
    """Return the time within which a stream is sure to end.

    Pattern: hosts are restarted one after another, each before the one ahead
    of it has finished draining. A zone may then have only one host in three
    that is not draining, and the load balancer sends callers to all of them. A
    caller that is refused has one try left, and fails for good if that one
    falls into a burst. So a draining host serves streams that are sure to end
    in time. The maximum length of the answer counts, not the expected one:
    estimates are often too short, and a stream that is cut off would be lost
    through a planned stop.

    Parameters
    ----------
    max_tokens : int
        Upper limit of the answer's length.
    tokens_per_s : float
        Measured decode speed of streams in tokens per second.
    """
    return FIRST_EVENT_S + SPEED_MARGIN * max_tokens / tokens_per_s
