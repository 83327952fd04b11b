"""Limits of one listening port."""

import dataclasses
import math
import resource

MAX_DESCRIPTORS = 1 << 16


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PortLimits:
    """Limits of one listening port.

    Parameters
    ----------
    max_connections : int
        Maximum number of open connections.
    max_head_bytes : int
        Maximum size of the request line and the headers.
    max_body_bytes : int
        Maximum size of a body. A larger one is answered with status 413.
    body_copies : int
        How often a body is held while its request is handled; 0 if the
        delegate has a budget for bodies.
    counts_unsent : bool
        Whether answers that clients have not taken count as memory of the
        port; false if the delegate has a budget for answers.
    idle_timeout_s : float
        Longest time for which nothing arrives, between requests and within
        one.
    progress_timeout_s : float
        Longest time for the next 64 KiB of a body, or the rest of it.
    stall_timeout_s : float
        Longest time for which the client takes nothing of an answer.
    """

    max_connections: int
    max_head_bytes: int = 1 << 16
    max_body_bytes: int = 1 << 16
    body_copies: int = 1
    counts_unsent: bool = True
    idle_timeout_s: float = 60.0
    progress_timeout_s: float = math.inf
    stall_timeout_s: float = 10.0


def share_of_descriptors(share: float, most: int) -> int:
    """Return a share of the descriptors of this process, or ``most``."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft == resource.RLIM_INFINITY:
        soft = MAX_DESCRIPTORS
    return max(1, min(most, int(soft * share)))
