"""Fleets of several shapes, with bursts and lost runners."""

import dataclasses
import functools
import random
import typing

from limpetroute.bench import engine_shape
from limpetroute.bench import fleet_play
from limpetroute.bench import stream_load
from limpetroute.decisions import stage as stage_module

UNTIL_S = 34.0
# Factors of the usual load: a burst early, the largest, and a last one.
BURSTS = ((6.0, 1.7), (11.0, 1.0), (17.0, 2.2), (21.0, 1.0), (27.0, 1.7))
LOST_S = 12.0
ONE_LARGE_TEAM = (('large', 0.6), *((f'small-{n}', 0.05) for n in range(8)))


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StreamShape:
    """A fleet and its usual load.

    Parameters
    ----------
    name : str
        Names it.
    prefill, decode : int
        Number of runners of each stage.
    lost : int
        Decode runners that go dark in the middle.
    memory_tokens : int
        Memory of a runner.
    streams_per_s : float
        Usual load.
    engine : EngineShape
        Speeds of a runner.
    prompt_tokens : float
        Mean length of prompts.
    teams : tuple of (str, float)
        Teams and their shares.
    """

    name: str
    prefill: int
    decode: int
    lost: int
    memory_tokens: int
    streams_per_s: float
    engine: engine_shape.EngineShape = engine_shape.EngineShape()
    prompt_tokens: float = 5000.0
    teams: tuple[tuple[str, float], ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StreamResult:
    """What a play earned.

    Parameters
    ----------
    shape : str
        The fleet.
    seed : int
        Seed of the load.
    worth : float
        Earned share of the worth of all streams.
    on_time, late, lost : int
        Streams by outcome.
    worst_team : float
        Least share of a team's streams that were served, beside that of
        all streams.
    """

    shape: str
    seed: int
    worth: float
    on_time: int
    late: int
    lost: int
    worst_team: float


SHAPES = (
    StreamShape(
        name='three-runners',
        prefill=1,
        decode=2,
        lost=0,
        memory_tokens=135_015,
        streams_per_s=3.9,
    ),
    StreamShape(
        name='eleven-long-prompts',
        prefill=4,
        decode=7,
        lost=2,
        memory_tokens=65_578,
        streams_per_s=12.0,
    ),
    StreamShape(
        name='eleven-slow-readers',
        prefill=4,
        decode=7,
        lost=2,
        memory_tokens=52_385,
        streams_per_s=8.5,
        engine=engine_shape.EngineShape(read_tokens_per_s=33_333.0),
        prompt_tokens=3000.0,
        teams=ONE_LARGE_TEAM,
    ),
    StreamShape(
        name='many-slots',
        prefill=2,
        decode=7,
        lost=1,
        memory_tokens=52_113,
        streams_per_s=9.1,
        engine=engine_shape.EngineShape(
            slots=64, step_s=0.00463, tokens_per_event=20
        ),
    ),
)


def drawn_shape(seed: int) -> StreamShape:
    """Return a shape that is drawn at random."""
    rng = random.Random(f'shape {seed}')
    decode = rng.randint(2, 12)
    engine = engine_shape.EngineShape(
        slots=rng.choice((8, 12, 16, 32)),
        step_s=rng.uniform(0.0005, 0.0015),
        read_tokens_per_s=rng.uniform(25_000.0, 60_000.0),
    )
    memory_tokens = rng.randint(50_000, 140_000)
    held = min(engine.slots, memory_tokens / 8_000)
    stream_s = 70 * engine.tokens_per_event * engine.step_of_s(engine.slots)
    return StreamShape(
        name=f'drawn-{seed}',
        prefill=max(1, round(decode * rng.uniform(0.3, 0.6))),
        decode=decode,
        lost=rng.randint(0, decode // 3),
        memory_tokens=memory_tokens,
        streams_per_s=decode * held / stream_s * rng.uniform(0.3, 0.7),
        engine=engine,
        prompt_tokens=rng.uniform(2000.0, 6000.0),
        teams=ONE_LARGE_TEAM,
    )


def play(shape: StreamShape, seed: int) -> StreamResult:
    """Play one shape with one seed."""
    rate = shape.streams_per_s
    load = stream_load.StreamLoad(
        streams_per_s=(
            (0.0, rate),
            *((since_s, rate * factor) for since_s, factor in BURSTS),
            (31.0, rate),
        ),
        until_s=UNTIL_S,
        prompt_tokens=shape.prompt_tokens,
        teams=shape.teams,
    )
    played = fleet_play.FleetPlay(
        seed=seed,
        load=load,
        shape=shape.engine,
        memory_tokens=shape.memory_tokens,
    )
    for number in range(shape.decode):
        played.add(f'd{number}', stage_module.Stage.DECODE)
        if number < shape.lost:
            played.at(LOST_S, functools.partial(played.go_dark, f'd{number}'))
            played.at(
                LOST_S + 1.5, functools.partial(played.remove, f'd{number}')
            )
    for number in range(shape.prefill):
        played.add(f'p{number}', stage_module.Stage.PREFILL)
    played.run()
    on_time = sum(one.on_time for one in played.callers)
    whole = sum(one.whole for one in played.callers)
    return StreamResult(
        shape=shape.name,
        seed=seed,
        worth=played.earned(),
        on_time=on_time,
        late=whole - on_time,
        lost=len(played.callers) - whole,
        worst_team=_worst_team(played),
    )


def measure(seeds: int, drawn: int = 10) -> list[StreamResult]:
    """Play all shapes with these seeds, and drawn ones with one each."""
    rows = [play(shape, seed) for shape in SHAPES for seed in range(seeds)]
    rows.extend(
        dataclasses.replace(play(drawn_shape(seed), seed), shape='drawn')
        for seed in range(drawn)
    )
    return rows


def _worst_team(played: fleet_play.FleetPlay) -> float:
    served = _served_share(played.callers)
    teams: dict[str, list[typing.Any]] = {}
    for one in played.callers:
        teams.setdefault(one.team, []).append(one)
    return min(
        (_served_share(callers) for callers in teams.values()), default=0.0
    ) / max(served, 1e-9)


def _served_share(callers: typing.Sequence[typing.Any]) -> float:
    return sum(one.whole for one in callers) / max(1, len(callers))
