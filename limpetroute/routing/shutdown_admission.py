"""Which streams a host that stops still takes."""

# Streams are slower than usual while runners are full or preempt them.
SPEED_MARGIN = 1.5
# From its arrival to its first event, where nothing has to be waited for.
FIRST_EVENT_S = 0.6


def ends_before_shutdown(
    *, max_tokens: int, tokens_per_s: float, remaining_s: float
) -> bool:
    """Return whether a stream surely ends before this host does.

    Pattern: hosts are stopped one after the other, faster than each of
    them ends; a zone then has one host in three that does not stop, and
    the balancer sends callers to all of them again. Refused there, a
    caller has one try left, and in a burst it is refused for good. A
    stream that surely ends in the time that is left is served. Its
    longest answer counts, not the expected one: estimates are often
    short, and a stream that is cut at the end is lost by a planned stop.

    Parameters
    ----------
    most_tokens : int
        Tokens that its answer may have.
    tokens_per_s : float
        How fast streams are written, as measured.
    left_s : float
        Time until this host breaks off what is still open.
    """
    needed_s = FIRST_EVENT_S + SPEED_MARGIN * max_tokens / tokens_per_s
    return needed_s <= remaining_s
