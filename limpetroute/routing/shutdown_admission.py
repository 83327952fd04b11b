"""Decides which streams a host still accepts while it shuts down."""

# Streams are slower than usual while runners are full or preempt them.
SPEED_MARGIN = 1.5
# Time from a stream's arrival to its first event if it need not wait.
FIRST_EVENT_S = 0.6


def ends_before_shutdown(
    *, max_tokens: int, tokens_per_s: float, remaining_s: float
) -> bool:
    """Return whether a stream is sure to end before this host stops.

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
    remaining_s : float
        Time until this host closes all open streams.
    """
    needed_s = FIRST_EVENT_S + SPEED_MARGIN * max_tokens / tokens_per_s
    return needed_s <= remaining_s
