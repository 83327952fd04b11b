"""Makes routers by the names that traces and experiments use."""

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
    """Make a router.

    Parameters
    ----------
    name : str
        A baseline, ``full``, or ``without_`` and a decision.
    objective : Objective
        What the full policy weighs more.
    seed : int
        Seed of what is random in it.

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
        raise ValueError(f'{name!r} is not a router')
    return full_policy.FullPolicy(
        config=policy_config.PolicyConfig(objective=objective, without=without)
    )


def names() -> list[str]:
    """Return all names."""
    ablated = [f'{WITHOUT}{decision}' for decision in policy_config.Decision]
    return [*BASELINES, FULL, *ablated]
