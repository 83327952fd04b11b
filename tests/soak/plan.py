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


@dataclasses.dataclass(frozen=True)
class Fault:
    at_s: float
    kind: str
    target: int
    for_s: float


def make(seed, seconds, kinds=KINDS):
    """Faults come alone, in series and overlapping."""
    rng = random.Random(seed)
    faults = []
    at_s = 0.5
    while at_s < seconds:
        fault = Fault(
            at_s=round(at_s, 2),
            kind=rng.choice(kinds),
            target=rng.randrange(5),
            for_s=round(rng.choice([0.2, 0.8, 2.5]), 2),
        )
        faults.append(fault)
        at_s += rng.choice([0.05, 0.3, 1.0, 2.5])
    return faults
