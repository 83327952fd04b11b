"""A seed's plan of faults: the same seed gives the same plan."""

import dataclasses
import random

KINDS = (
    'kill_control',
    'stop_control',
    'pause_control',
    'kill_forward',
    'stop_forward',
    'pause_forward',
    'silence_runner',
    'reset_runner',
    'slow_runner',
    'drain_runner',
    'submit',
)
# With hosts whose links to runners are cut; seeds of plain runs keep theirs.
KINDS_WITH_CUTS = (*KINDS, *('cut_links',) * 6)
# With sound runners that send nothing for a second or so and go on.
KINDS_WITH_SILENCES = (*KINDS, *('hush_runner',) * 12)

# With runners of several software versions, replaced one by one.
KINDS_WITH_VERSIONS = (
    *KINDS,
    *('replace_decode',) * 5,
    *('reset_decode',) * 4,
)

# With all entry hosts killed at once, beside several versions.
KINDS_WITH_HERDS = (*KINDS_WITH_VERSIONS, *('herd_forward',) * 4)
# With control hosts that are gone for good, with their disks.
KINDS_WITH_LOSSES = (*KINDS, *('lose_control',) * 6)

# With entry hosts that are stopped and started, and none that breaks off.
KINDS_WITH_STOPS = (
    *('stop_forward',) * 4,
    'kill_control',
    'stop_control',
    'pause_control',
    'submit',
)

# With large bodies of many callers at once.
KINDS_WITH_BODIES = (*KINDS, *('flood_forward',) * 8)

# With runners that drop all packets for a while, and hosts that go on.
KINDS_WITH_DARK = (
    *('darken_runner',) * 6,
    *('slow_runner',) * 2,
    'kill_control',
    'stop_control',
    'pause_control',
    'submit',
)

# With runners that break off early answers, or give ones with no valid status.
KINDS_WITH_TROUBLE = (*KINDS, *('trouble_runner',) * 8)

# With clients that fetch a large configuration and take none of it.
KINDS_WITH_CROWDS = (*KINDS, *('crowd_control',) * 8)

# With leaders that change while they give orders.
KINDS_WITH_LEADERS = (
    *('slow_leader',) * 4,
    *('stall_leader',) * 3,
    *('cut_leader',) * 4,
    *('hold_leader',) * 4,
    *('pause_leader',) * 3,
    *('kill_leader',) * 2,
    'stop_leader',
    'kill_control',
    'pause_control',
    'replace_swing',
    'submit',
)
# With leaders that stand still between the decision of an order and its write.
KINDS_WITH_HOLDS = ('hold_leader',)

# Numbers from which an operator counts: small ones, those around the largest
# that a float holds exactly, nanoseconds since 1970, and the last of 64 bits.
FIRST_VERSIONS = (1, 2**53 - 2, 1_796_601_600_000_000_200, 2**63 - 1000)

# Between two disruptions. A new leader gives orders after a few seconds.
GAPS_S = (0.05, 0.3, 1.0, 2.5)
LEADER_GAPS_S = (0.3, 2.5, 6.0, 9.0)
HOLD_GAPS_S = (9.0,)


@dataclasses.dataclass(frozen=True)
class Fault:
    at_s: float
    kind: str
    target: int
    for_s: float


def make(seed, seconds, kinds=KINDS, gaps_s=GAPS_S):
    """Faults come alone, in series and overlapping."""
    rng = random.Random(seed)
    faults = []
    at_s = 0.5
    while at_s < seconds:
        kind = rng.choice(kinds)
        target = rng.randrange(5)
        if kind == 'hush_runner':
            for_s = rng.uniform(1.0, 1.6)
        else:
            for_s = rng.choice([0.2, 0.8, 2.5])
        fault = Fault(
            at_s=round(at_s, 2),
            kind=kind,
            target=target,
            for_s=round(for_s, 2),
        )
        faults.append(fault)
        at_s += rng.choice(gaps_s)
    return faults
