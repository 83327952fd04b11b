"""Configuration of the policy, from the manifest."""

import dataclasses
import enum
import typing


class Objective(enum.StrEnum):
    """Objective that takes precedence when the two conflict."""

    GOODPUT = 'goodput'
    WASTED_PREFILL = 'wasted_prefill'


class Decision(enum.StrEnum):
    """A decision that the bench can switch off to measure its benefit."""

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
    """Objective, team shares and switched-off decisions.

    Parameters
    ----------
    objective : Objective
        Whether high goodput or little wasted prefill takes precedence.
    team_shares : mapping of str to float
        Weight of each team; 1 for a team without an entry.
    result_ttl_s : float
        Guaranteed lifetime of a prefill result.
    without : frozenset of Decision
        Decisions that are switched off, for ablations in the bench.
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
