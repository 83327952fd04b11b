"""How long a request waits at a host that has just started."""

# Hosts that lost power together: control hosts start and elect a leader
# within 0.9 to 1.3 s of their entry hosts' first request.
MAX_WAIT_S = 1.3
# A host that has heard nothing for longer is cut off, and what it waits
# for may not come.
STARTUP_S = 3.0
# Of the time that a caller gives. Plain callers give three seconds.
DEADLINE_SHARE = 1 / 4


def max_wait_s(*, age_s: float, deadline_s: float | None) -> float:
    """Return how long a request may wait for the first configuration.

    Pattern: all hosts lose power or are killed together. Callers failed
    once as nobody took their connection, and come back, once, to hosts
    that start. Refused there for the second that a configuration takes
    to arrive, they are lost: 84 refusals in 1.2 s, and a third of two
    seconds' callers got no answer. Nothing says yet that such a request
    cannot be served, so it waits.

    Parameters
    ----------
    age_s : float
        Time since this host started.
    patience_s : float or None
        Time that the caller gives; None if it does not say.
    """
    if age_s > STARTUP_S:
        return 0.0
    if deadline_s is None:
        return MAX_WAIT_S
    return min(MAX_WAIT_S, deadline_s * DEADLINE_SHARE)
