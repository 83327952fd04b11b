"""Plays one case with one policy and one seed."""

import time

from limpetroute.bench import arrivals
from limpetroute.bench import bound
from limpetroute.bench import world as world_module
from limpetroute.border import experiment
from limpetroute.decisions import policy_config
from limpetroute.decisions import routers


def play(
    body: experiment.ExperimentBody,
    case: experiment.CaseBody,
    policy: str,
    seed: int,
) -> dict[str, object]:
    """Return the figures of one play as plain JSON values."""
    shape = body.deployment
    classes = case.classes or body.classes
    capacity = arrivals.capacity_per_s(shape, classes)
    plan = arrivals.draw(
        shape=shape,
        classes=classes,
        pattern=case.pattern,
        rate_per_s=capacity * case.pattern.load,
        seed=seed,
    )
    name, _, chosen = policy.partition('@')
    objective = chosen or body.objective
    world = world_module.World(
        shape=shape,
        case=case,
        make_router=lambda host_seed: routers.make(
            name,
            objective=policy_config.Objective(objective),
            seed=host_seed,
        ),
        seed=seed,
    )
    began_s = time.perf_counter()
    world.play(plan)
    wall_s = time.perf_counter() - began_s
    summary = world.measure.summary()
    summary['case'] = case.name
    summary['policy'] = policy
    summary['seed'] = seed
    summary['load'] = case.pattern.load
    summary['capacity_per_s'] = capacity
    summary['bound_per_s'] = bound.upper_bound_per_s(
        shape=shape, pattern=case.pattern, plan=plan
    )
    summary['wall_s'] = wall_s
    summary['requests_per_wall_s'] = len(plan) / max(wall_s, 1e-9)
    return summary
