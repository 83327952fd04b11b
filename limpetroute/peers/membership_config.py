"""Periods and bounds of the membership protocol."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MembershipConfig:
    """Periods and bounds.

    Parameters
    ----------
    probe_period_s : float
        Time between two probes that a host starts.
    probe_timeout_s : float
        Silence after which others are asked to probe; the probe fails
        one more such time later.
    helpers : int
        Hosts asked to probe for us.
    suspicion_s : float
        Time a suspect has to contradict before it is taken for dead.
    rejoin_period_s : float
        Time between two probes of seeds and of hosts taken for dead:
        this is what ends a partition in which each side has given the
        other up.
    forget_s : float
        Time a dead or departed host is remembered, so that an old
        claim does not bring it back.
    max_claims : int
        Most pieces of news in one message.
    page_claims : int
        Most claims in a page asked for.
    retransmits : int
        Each piece of news is sent this many times log2 of the hosts.
    frozen_s : float
        A gap between two ticks past this means that this process was
        not running: its open probes say nothing about the others.
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
