"""Divides the capacity of each rank among teams."""

import collections
import dataclasses
import math
import typing

from limpetroute.routing import placement
from limpetroute.routing import urgency


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TeamShare:
    """What a team holds of the capacity that its rank holds.

    Parameters
    ----------
    held : float
        Part that the team holds, from 0 to 1.
    fair : float
        Part that it may hold by max-min fairness; 1 if all teams may hold what
        they ask for.
    """

    held: float
    fair: float


class TeamShares:
    """Divides the capacity of each rank among teams, by max-min fairness.

    Pattern: one team sends many more streams than the others. In the order of
    target times, it would get capacity in proportion to its requests, and the
    other teams would wait behind its burst.

    A stream counts with the tokens of its prompt and its expected answer.
    """

    def __init__(self) -> None:
        self._held: dict[urgency.Rank, collections.Counter[str]] = {}
        self._fair_tokens: dict[urgency.Rank, float] = {}

    def __repr__(self) -> str:
        return f'{type(self).__name__}(held={self._held!r})'

    def add(self, request: placement.PlacementRequest) -> None:
        """Record a placement."""
        rank = urgency.rank_of(request)
        held = self._held.setdefault(rank, collections.Counter())
        held[request.team] += tokens_of(request)

    def remove(self, request: placement.PlacementRequest) -> None:
        """Record the end of a placement."""
        rank = urgency.rank_of(request)
        held = self._held[rank]
        held[request.team] -= tokens_of(request)
        if held[request.team] <= 0:
            del held[request.team]
        if not held:
            del self._held[rank]

    def divide(
        self,
        waiting: typing.Mapping[urgency.Rank, typing.Mapping[str, int]],
    ) -> None:
        """Divide what each rank holds among its teams.

        Parameters
        ----------
        waiting : mapping of Rank to mapping of str to int
            Tokens of the waiting streams, by rank and team.
        """
        self._fair_tokens = {}
        for rank, teams in waiting.items():
            held = self._held.get(rank, collections.Counter())
            demands = held + collections.Counter(teams)
            self._fair_tokens[rank] = fair_share(
                sum(held.values()), demands.values()
            )

    def unused_tokens(self, rank: urgency.Rank, team: str) -> float:
        """Return the rest of a team's share; negative if it is exceeded."""
        held = self._held.get(rank)
        held_tokens = held[team] if held is not None else 0
        return self._fair_tokens.get(rank, 0.0) - held_tokens

    def share(self, rank: urgency.Rank, team: str) -> TeamShare:
        """Return what a team holds of the capacity that its rank holds."""
        held = self._held.get(rank, collections.Counter[str]())
        total = sum(held.values())
        if not total:
            return TeamShare(held=0.0, fair=1.0)
        fair_tokens = self._fair_tokens.get(rank, math.inf)
        return TeamShare(
            held=held[team] / total, fair=min(1.0, fair_tokens / total)
        )


def tokens_of(request: placement.PlacementRequest) -> int:
    """Return the tokens with which a stream counts."""
    return max(1, request.prefill_tokens + request.output_tokens)


def fair_share(capacity: float, demands: typing.Iterable[float]) -> float:
    """Return the most that one team may hold, by max-min fairness.

    Smaller demands are met in full, and the others share the rest equally.
    Infinity if there is enough for all.
    """
    rest = capacity
    ordered = sorted(demands)
    for position, demand in enumerate(ordered):
        equal = rest / (len(ordered) - position)
        if demand > equal:
            return equal
        rest -= demand
    return math.inf
