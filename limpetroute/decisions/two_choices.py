"""Two choices: a baseline that compares two random runners."""

import random

from limpetroute.decisions import least_load
from limpetroute.decisions import runner_facts


class TwoChoices(least_load.LeastLoad):
    """Sends each request to the less loaded of two random runners.

    Pattern of load: many routers with lagging reports; the randomness
    keeps them from herding.

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
