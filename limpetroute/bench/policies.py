"""Routers by the names that experiments use."""

import random

from limpetroute.decisions import full_policy
from limpetroute.decisions import least_load
from limpetroute.decisions import policy_config
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
    if name == 'full' or name.startswith('without_'):
        without = set()
        if name != 'full':
            without.add(policy_config.Decision(name.removeprefix('without_')))
        config = policy_config.PolicyConfig(
            objective=policy_config.Objective(objective),
            without=frozenset(without),
        )
        return full_policy.FullPolicy(config=config)
    raise ValueError(f'{name!r} is not a policy')
