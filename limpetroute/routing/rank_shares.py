"""Gives each rank with waiting streams a minimum share of placements."""

import typing

from limpetroute.routing import urgency

# Share of placements that a rank gets at least while its streams wait. An
# urgent stream in time is worth several times a patient one, so it is small.
MIN_SHARE = 0.1
# Most of the placements that the shares of all ranks take together.
MAX_TOTAL_SHARE = 0.3
# Placements that a rank may catch up on at once. Streams with a far target
# save up credit until they have to be placed.
MAX_CREDIT = 10.0


class RankShares:
    """Gives each rank with waiting streams a minimum share of placements.

    Pattern: urgent streams, or less urgent ones in time, arrive as fast as
    capacity becomes free. Without a minimum share, a rank whose streams are
    less urgent or late would never be served.

    Each placement adds to the credit of the other ranks that wait, and takes 1
    from the credit of its own rank.
    """

    def __init__(self) -> None:
        self._credits: dict[urgency.Rank, float] = {}

    def __repr__(self) -> str:
        return f'{type(self).__name__}(credits={self._credits!r})'

    def note_placed(
        self,
        rank: urgency.Rank,
        waiting: typing.Collection[urgency.Rank],
    ) -> None:
        """Record a placement.

        Parameters
        ----------
        rank : Rank
            Rank of the stream that was placed.
        waiting : collection of Rank
            Ranks that still have waiting streams. The credit of other ranks
            ends.
        """
        share = min_share(len(waiting))
        self._credits = {
            one: (
                max(0.0, self._credits.get(one, 0.0) - 1.0)
                if one == rank
                else min(MAX_CREDIT, self._credits.get(one, 0.0) + share)
            )
            for one in waiting
        }

    def due_placements(self) -> dict[urgency.Rank, int]:
        """Return how many streams of each rank are to be put first."""
        return {
            rank: int(credit)
            for rank, credit in self._credits.items()
            if credit >= 1.0
        }


def min_share(waiting_ranks: int) -> float:
    """Return the share of one rank while some number of ranks wait."""
    return min(MIN_SHARE, MAX_TOTAL_SHARE / max(1, waiting_ranks))
