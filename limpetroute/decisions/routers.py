"""Creates routers by the names used in traces and experiments."""

import random

from limpetroute.decisions import full_policy
from limpetroute.decisions import least_load
from limpetroute.decisions import policy_config
from limpetroute.decisions import round_robin
from limpetroute.decisions import router
from limpetroute.decisions import two_choices

BASELINES = ('round_robin', 'least_load', 'two_choices')
FULL = 'full'
WITHOUT = 'without_'


def make(
    name: str,
    *,
    objective: policy_config.Objective = policy_config.Objective.GOODPUT,
    seed: int = 0,
) -> router.Router:
    """Create a router.

    Parameters
    ----------
    name : str
        A baseline, ``full``, or ``without_`` followed by a decision.
    objective : Objective
        Objective of the full policy.
    seed : int
        Seed of the random choices of ``two_choices``.

    Raises
    ------
    ValueError
        If there is no router of that name.
    """
    if name == 'round_robin':
        return round_robin.RoundRobin()
    if name == 'least_load':
        return least_load.LeastLoad()
    if name == 'two_choices':
        return two_choices.TwoChoices(random=random.Random(seed))
    without: frozenset[policy_config.Decision] = frozenset()
    if name.startswith(WITHOUT):
        decision = policy_config.Decision(name.removeprefix(WITHOUT))
        without = frozenset({decision})
    elif name != FULL:
        raise ValueError(f'unknown router {name!r}')
    return full_policy.FullPolicy(
        config=policy_config.PolicyConfig(objective=objective, without=without)
    )


def names() -> list[str]:
    """Return the names of all routers."""
    ablated = [f'{WITHOUT}{decision}' for decision in policy_config.Decision]
    return [*BASELINES, FULL, *ablated]
