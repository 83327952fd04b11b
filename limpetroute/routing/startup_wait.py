"""Limits how long a request waits on a host that has just started."""

# After a power loss of all hosts, control hosts start and elect a leader
# within 0.9 to 1.3 s of the entry hosts' first request.
MAX_WAIT_S = 1.3
# A host without a configuration for longer is cut off, and a configuration may
# never arrive.
STARTUP_S = 3.0
# Share of the caller's deadline. Plain callers set three seconds.
DEADLINE_SHARE = 1 / 4


def max_wait_s(*, age_s: float, deadline_s: float | None) -> float:
    """Return how long a request may wait for the first configuration.

    Pattern: all hosts lose power or are killed together. Callers whose
    connection failed retry once, at hosts that are starting. If these refused
    requests during the second that a configuration takes to arrive, the
    requests would be lost: 84 were refused in 1.2 s, and a third of the
    callers of two seconds got no answer. At that point nothing shows that such
    a request cannot be served, so it waits.

    Parameters
    ----------
    age_s : float
        Time since this host started.
    deadline_s : float or None
        Time that the caller allows; None if the caller sets no deadline.
    """
    if age_s > STARTUP_S:
        return 0.0
    if deadline_s is None:
        return MAX_WAIT_S
    return min(MAX_WAIT_S, deadline_s * DEADLINE_SHARE)
