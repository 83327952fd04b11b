"""Counts what callers got and what it cost."""

import dataclasses
import math

from limpetroute.bench import arrivals


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class Fate:
    """What became of one request."""

    arrival: arrivals.Arrival
    first_s: float | None = None
    end_s: float | None = None
    tokens: int = 0
    ended: str = 'open'
    refused_at_once: bool = False
    given_up_s: float | None = None
    told_s: float | None = None
    retry_after_s: float | None = None
    predicted_s: float | None = None

    @property
    def first_token_s(self) -> float | None:
        """Time to the first token."""
        if self.first_s is None:
            return None
        return self.first_s - self.arrival.item.arrived_s

    @property
    def gap_s(self) -> float:
        """Mean time between tokens."""
        if self.first_s is None or self.end_s is None or self.tokens < 2:
            return 0.0
        return (self.end_s - self.first_s) / (self.tokens - 1)

    @property
    def on_time(self) -> bool:
        """Whether both targets were met."""
        if self.ended != 'completed' or self.first_s is None:
            return False
        item = self.arrival.item
        if self.first_s > item.first_token_by_s:
            return False
        return self.gap_s <= item.token_gap_s


def quantile(values: list[float], share: float) -> float | None:
    """Return a quantile by rank, or None where there is no value."""
    if not values:
        return None
    ordered = sorted(values)
    place = math.ceil(share * len(ordered)) - 1
    return ordered[min(len(ordered) - 1, max(0, place))]


def jain(values: list[float]) -> float | None:
    """Return Jain's fairness index, 1 where all are alike."""
    squares = sum(value * value for value in values)
    if not squares:
        return None
    return sum(values) ** 2 / (len(values) * squares)


@dataclasses.dataclass(kw_only=True, slots=True)
class Measure:
    """All counts of one play.

    Parameters
    ----------
    warmup_s : float
        Requests that arrive before are played but not counted.
    end_s : float
        End of the arrivals.
    """

    warmup_s: float
    end_s: float
    fates: list[Fate] = dataclasses.field(default_factory=list)
    read_tokens: int = 0
    wasted_tokens: int = 0
    decisions: int = 0
    decision_wall_s: float = 0.0
    events: int = 0
    prefill_busy: float = 0.0

    def summary(self) -> dict[str, object]:
        """Return the figures of the play as plain JSON values."""
        counted = [
            fate
            for fate in self.fates
            if fate.arrival.item.arrived_s >= self.warmup_s
        ]
        fresh = [fate for fate in counted if fate.arrival.attempt == 0]
        seconds = self.end_s - self.warmup_s
        good = [fate for fate in counted if fate.on_time]
        let_in = [fate for fate in counted if not fate.refused_at_once]
        settled = [fate for fate in let_in if fate.ended != 'cancelled']
        missed = [fate for fate in settled if not fate.on_time]
        first = [
            fate.first_token_s
            for fate in counted
            if fate.first_token_s is not None
        ]
        gaps = [fate.gap_s for fate in counted if fate.ended == 'completed']
        errors = [
            abs(fate.first_token_s - fate.predicted_s)
            for fate in counted
            if fate.first_token_s is not None and fate.predicted_s is not None
        ]
        held = [
            fate.told_s - fate.given_up_s
            for fate in counted
            if fate.told_s is not None and fate.given_up_s is not None
        ]
        late = [
            fate.given_up_s - fate.arrival.item.arrived_s
            for fate in counted
            if fate.given_up_s is not None
        ]
        back = [fate for fate in counted if fate.arrival.attempt > 0]
        back_in = [fate for fate in back if fate.given_up_s is None]
        per_team = _good_share_by(fresh, lambda f: f.arrival.item.team)
        return {
            'offered': len(fresh),
            'goodput_per_s': len(good) / seconds,
            'goodput_share': len(good) / max(1, len(fresh)),
            'completed': sum(f.ended == 'completed' for f in counted),
            'lost': sum(f.ended in ('failed', 'open') for f in counted),
            'refused_at_once': len(counted) - len(let_in),
            'given_up_later': len(late) - (len(counted) - len(let_in)),
            'wrongly_admitted': len(missed) / max(1, len(settled)),
            'wasted_prefill': self.wasted_tokens / max(1, self.read_tokens),
            'first_token_p50_s': quantile(first, 0.5),
            'first_token_p95_s': quantile(first, 0.95),
            'first_token_p99_s': quantile(first, 0.99),
            'gap_p50_s': quantile(gaps, 0.5),
            'gap_p95_s': quantile(gaps, 0.95),
            'prediction_error_p50_s': quantile(errors, 0.5),
            'prediction_error_p95_s': quantile(errors, 0.95),
            'giveup_to_answer_p99_s': quantile(held, 0.99),
            'arrival_to_giveup_p99_s': quantile(late, 0.99),
            'came_back': len(back),
            'came_back_let_in': len(back_in) / len(back) if back else None,
            'retry_after_p50_s': quantile(
                [f.retry_after_s for f in counted if f.retry_after_s], 0.5
            ),
            'fairness': jain(list(per_team.values())),
            'by_class': _good_share_by(fresh, lambda f: f.arrival.kind),
            'by_team': dict(sorted(per_team.items())[:20]),
            'light_teams_good': _light_share(fresh),
            'decision_us': 1e6 * self.decision_wall_s / max(1, self.decisions),
            'events': self.events,
            'prefill_busy': self.prefill_busy,
        }


def _good_share_by(fates, key) -> dict[str, float]:
    good: dict[str, int] = {}
    total: dict[str, int] = {}
    for fate in fates:
        name = key(fate)
        total[name] = total.get(name, 0) + 1
        good[name] = good.get(name, 0) + fate.on_time
    return {name: good[name] / total[name] for name in sorted(total)}


def _light_share(fates: list[Fate]) -> float | None:
    light = [f for f in fates if f.arrival.item.team != 'team-0']
    if not light:
        return None
    return sum(fate.on_time for fate in light) / len(light)
