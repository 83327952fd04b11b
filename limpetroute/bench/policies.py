"""Routers by the names that experiments use."""

import random

from limpetroute.decisions import least_load
from limpetroute.decisions import round_robin
from limpetroute.decisions import router
from limpetroute.decisions import two_choices

BASELINES = ('round_robin', 'least_load', 'two_choices')


def make(name: str, objective: str, seed: int) -> router.Router:
    """Make a router.

    Raises
    ------
    ValueError
        If there is no policy of that name.
    """
    if name == 'round_robin':
        return round_robin.RoundRobin()
    if name == 'least_load':
        return least_load.LeastLoad()
    if name == 'two_choices':
        return two_choices.TwoChoices(random=random.Random(seed))
    raise ValueError(f'{name!r} is not a policy')
