"""Keeps several hosts from piling prompts up at one prefill runner.

Load pattern: seven hosts that share two prefill runners under
saturation. Each sends one prompt at a time, but seven of them make a
queue at the runner that none of them can reorder or refuse from: at
three times capacity first tokens came seconds late and goodput fell to
a third of its peak. No host sees the others' work, but each sees how
long its own prompt waited there. It then pauses for `FACTOR` times
that wait (a delay-based back-off): with H hosts the wait settles at
(H - 1) / (1 + FACTOR) prompts in place of H - 1, and as there is
still a wait, the runner is never idle. A wait under `SLACK_S` is the
network.
"""

FACTOR = 4.0
SLACK_S = 0.01
MAX_PAUSE_S = 2.0


def pause_s(waited_s: float) -> float:
    """Return how long to send nothing to a runner.

    Parameters
    ----------
    waited_s : float
        Time that a prompt waited there behind other hosts' work.
    """
    if waited_s <= SLACK_S:
        return 0.0
    return min(MAX_PAUSE_S, FACTOR * (waited_s - SLACK_S))
