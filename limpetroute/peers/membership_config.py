"""Periods and limits of the membership protocol."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MembershipConfig:
    """Periods and limits of the membership protocol.

    Parameters
    ----------
    probe_period_s : float
        Time between two probes that a host starts.
    probe_timeout_s : float
        Time without a reply after which helpers are asked to probe; the
        probe fails after twice this time.
    helpers : int
        Number of hosts asked to probe on behalf of this one.
    suspicion_s : float
        Time in which a suspect can refute the suspicion before it is
        considered dead.
    rejoin_period_s : float
        Time between two probes of seeds and of hosts considered dead.
        These probes end a partition after which each side considers the
        other dead.
    forget_s : float
        Time for which a dead or departed host is kept, so that an old
        claim does not make it alive again.
    max_claims : int
        Most recently changed claims in one message.
    page_claims : int
        Most claims in a requested page.
    retransmits : int
        Factor for how often a changed claim is sent; the number grows
        with log2 of the number of hosts.
    frozen_s : float
        A longer gap between two ticks means that this process was not
        running, so its open probes are no evidence about other hosts.
    """

    probe_period_s: float = 1.0
    probe_timeout_s: float = 0.4
    helpers: int = 2
    suspicion_s: float = 3.0
    rejoin_period_s: float = 5.0
    forget_s: float = 600.0
    max_claims: int = 6
    page_claims: int = 16
    retransmits: int = 3
    frozen_s: float = 2.0
