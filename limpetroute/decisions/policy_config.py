"""What the manifest says to the policy."""

import dataclasses
import enum
import typing


class Objective(enum.StrEnum):
    """What is weighed more when the two pull apart."""

    GOODPUT = 'goodput'
    WASTED_PREFILL = 'wasted_prefill'


class Decision(enum.StrEnum):
    """A decision that the bench can switch off to show what it buys."""

    ADMISSION = 'admission'
    RESERVATION = 'reservation'
    FAIRNESS = 'fairness'
    SHORT_LANE = 'short_lane'
    CACHE_PLACEMENT = 'cache_placement'
    DECODE_PLACEMENT = 'decode_placement'
    TRANSFER_BUDGET = 'transfer_budget'
    RETRY_BUDGET = 'retry_budget'
    EJECTION = 'ejection'
    SHEDDING = 'shedding'
    RETRY_PROMISES = 'comeback'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PolicyConfig:
    """Objective, shares and what is switched off.

    Parameters
    ----------
    objective : Objective
        Whether goodput or little wasted prefill goes first.
    team_shares : mapping of str to float
        Weight of each team; a team not named weighs 1.
    result_ttl_s : float
        How long a prefill result surely survives.
    without : frozenset of Decision
        Decisions switched off, for the bench's ablations only.
    """

    objective: Objective = Objective.GOODPUT
    team_shares: typing.Mapping[str, float] = dataclasses.field(
        default_factory=dict
    )
    result_ttl_s: float = 0.8
    without: frozenset[Decision] = frozenset()

    def uses(self, decision: Decision) -> bool:
        """Whether a decision is switched on."""
        return decision not in self.without
