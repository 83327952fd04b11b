"""How much of a load is served while one decode runner is left."""

import dataclasses
import functools

from limpetroute.bench import engine_shape
from limpetroute.bench import fleet_play
from limpetroute.bench import on_time_bound
from limpetroute.bench import played_caller
from limpetroute.bench import stream_load
from limpetroute.decisions import stage as stage_module

DRAINS_S = 8.1
GOES_DARK_S = 9.3
SUCCEEDED_S = 13.5
LONE_SINCE_S = 15.3
LAST_SENT_S = 34.0
USUAL_PER_S = 3.84
LOAD = stream_load.StreamLoad(
    streams_per_s=(
        (0.0, USUAL_PER_S),
        (6.0, USUAL_PER_S * 1.6),
        (11.0, USUAL_PER_S),
        (17.0, USUAL_PER_S * 2.3),
        (21.0, USUAL_PER_S),
        (27.0, USUAL_PER_S * 1.7),
        (31.0, USUAL_PER_S),
    ),
    until_s=LAST_SENT_S,
)
SEEDS = range(10)
SLOW_FACTORS = (1.0, 1.3)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LoneRunnerResult:
    """What became of the streams sent while one decode runner was left.

    Parameters
    ----------
    seed : int
        Of the load.
    slow_factor : float
        By how much that runner is slower than the others.
    streams, on_time, late : int
        Streams that were sent, and whole answers.
    earned : float
        Part of their worth that was earned.
    bound : float
        Part of it that no order of service can exceed on time.
    """

    seed: int
    slow_factor: float
    streams: int
    on_time: int
    late: int
    earned: float
    bound: float


def play(seed: int, *, slow_factor: float = 1.0) -> fleet_play.FleetPlay:
    """Play bursts while runners leave, until one decode runner is left.

    One drains, the other goes dark, its streams are resumed at its
    successor, and the prefill runner leaves last.
    """
    played = fleet_play.FleetPlay(
        seed=seed, load=LOAD, shape=engine_shape.EngineShape()
    )
    played.add('drains', stage_module.Stage.DECODE)
    played.add('dark', stage_module.Stage.DECODE)
    played.add('reader', stage_module.Stage.PREFILL)
    played.at(DRAINS_S, functools.partial(played.drain, 'drains'))
    played.at(GOES_DARK_S, functools.partial(played.go_dark, 'dark'))
    played.at(SUCCEEDED_S, functools.partial(_succeed, played, slow_factor))
    played.at(LONE_SINCE_S, functools.partial(played.remove, 'reader'))
    played.run()
    return played


def _succeed(played: fleet_play.FleetPlay, slow_factor: float) -> None:
    played.remove('dark')
    played.add(
        'last',
        stage_module.Stage.DECODE,
        shape=engine_shape.EngineShape(slow_factor=slow_factor),
    )


def bound(played: fleet_play.FleetPlay, slow_factor: float) -> float:
    """Return the part of the worth that can be earned on time at most.

    The runner has until the last stream's target, and to the end of a mean
    answer for those that run then. What it had to do before is not taken
    off, so the bound is a generous one.
    """
    shape = engine_shape.EngineShape(slow_factor=slow_factor)
    callers = played.sent(LONE_SINCE_S, LAST_SENT_S)
    demands = [
        on_time_bound.Demand(
            prompt_tokens=one.prompt_tokens,
            tokens=one.tokens,
            worth=played.worth_of(one),
        )
        for one in callers
    ]
    mean_tokens = sum(one.tokens for one in callers) / len(callers)
    time_s = LAST_SENT_S + played_caller.TARGET_S - LONE_SINCE_S
    time_s += mean_tokens * shape.step_of_s(shape.slots)
    owed = sum(one.worth for one in demands)
    return on_time_bound.most_worth(demands, shape, time_s) / owed


def measure() -> list[LoneRunnerResult]:
    """Return what is served, by speed of the runner and seed."""
    found = []
    for slow_factor in SLOW_FACTORS:
        for seed in SEEDS:
            played = play(seed, slow_factor=slow_factor)
            callers = played.sent(LONE_SINCE_S, LAST_SENT_S)
            on_time = sum(one.on_time for one in callers)
            whole = sum(one.whole for one in callers)
            found.append(
                LoneRunnerResult(
                    seed=seed,
                    slow_factor=slow_factor,
                    streams=len(callers),
                    on_time=on_time,
                    late=whole - on_time,
                    earned=played.earned(LONE_SINCE_S, LAST_SENT_S),
                    bound=bound(played, slow_factor),
                )
            )
    return found
