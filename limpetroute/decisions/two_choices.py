"""Two choices: a baseline that compares two random runners."""

import random

from limpetroute.decisions import least_load
from limpetroute.decisions import runner_facts


class TwoChoices(least_load.LeastLoad):
    """Sends each request to the less loaded of two random runners.

    Load pattern: many routers with lagging reports; the random choice
    keeps them from sending all requests to the same runner.

    Parameters
    ----------
    random : random.Random
        Seeded generator.
    """

    __slots__ = ('_random',)

    def __init__(self, *, random: random.Random) -> None:
        super().__init__()
        self._random = random

    def _choose(
        self, candidates: list[runner_facts.RunnerFacts]
    ) -> runner_facts.RunnerFacts:
        return min(
            self._random.choice(candidates),
            self._random.choice(candidates),
            key=self._load,
        )
