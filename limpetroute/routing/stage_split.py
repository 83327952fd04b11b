"""How many of a service's runners read prompts."""

import dataclasses
import math
import typing

from limpetroute.decisions import stage as stage_module
from limpetroute.routing import runner_info
from limpetroute.routing import service as service_module

# Runners that decode for each one that reads prompts. A prompt of 5,000
# tokens is read in 90 ms and answered in 4 s in one of 12 places: one
# reader keeps 12 * 4 / 0.09 = 44 places, four runners, busy. Where
# memory binds, at 8 streams a runner, it is six. Five lies between.
DECODE_PER_PREFILL = 5
# Memory of a stream of the mean size, half way through its answer: a
# prompt of 5,000 tokens and 2,600 of 5,200.
TOKENS_PER_STREAM = 7_600
# A runner that has failed all it was sent for this long is taken to be
# gone for good: one that crashes is mostly back within five seconds.
LOST_AFTER_S = 6.0
# With two writers left and no reader, neither is taken away at once: for
# ten seconds the other would be alone. Runners are lost in pairs, and
# most crashed ones are back by then.
LONE_WRITER_WAIT_S = 4.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StageChange:
    """A runner that is to change its stage."""

    runner_id: str
    stage: stage_module.Stage


def wanted_prefill(runners: int, engine: service_module.Engine) -> int:
    """Return how many of a service's runners should read prompts.

    With none, decode runners read prompts between the tokens of others,
    which pauses every stream they have. With one too many, streams are
    refused for want of places while it stands idle: of three runners,
    two readers refused 47 of 165 streams on a calm day.
    """
    if runners < 2:
        return 0
    if runners == 2 and _memory_binds(engine):
        # A reader's memory holds no streams. Of two runners with memory
        # for nine, one that read left half of all callers out: worth of
        # three such days 0.20 with a reader, 0.41 with two writers.
        # Where places bind, the reader is worth more (0.18 and 0.17).
        return 0
    return max(1, round(runners / (DECODE_PER_PREFILL + 1)))


def _memory_binds(engine: service_module.Engine) -> bool:
    """Return whether a writer's memory is full before its places are."""
    return engine.memory_tokens < engine.slots * TOKENS_PER_STREAM


def next_change(
    runners: typing.Iterable[runner_info.RunnerInfo],
    *,
    engine: service_module.Engine,
    changing: typing.Collection[str],
    gone_s: typing.Mapping[str, float] | None = None,
) -> StageChange | None:
    """Return the next change towards the wanted split, if one is due.

    One runner changes at a time: it is away for seconds, and until it
    announces its new stage, another change would be decided on a split
    that is about to be different.

    Parameters
    ----------
    runners : iterable of RunnerInfo
        Runners of one service.
    engine : Engine
        Places and memory of each.
    changing : collection of str
        Runners that were ordered to change and have not done so.
    gone_s : mapping of str to float, optional
        For how long runners have seemed gone, by identity.
    """
    lost = {
        name for name, for_s in (gone_s or {}).items() if for_s >= LOST_AFTER_S
    }
    ready = [
        one
        for one in runners
        if one.ready and one.stage is not None and one.runner_id not in lost
    ]
    if changing or not ready:
        return None
    readers = [one for one in ready if one.stage is stage_module.Stage.PREFILL]
    wanted = wanted_prefill(len(ready), engine)
    if len(readers) > wanted:
        # The last by name: every host that decides picks the same one.
        chosen = max(readers, key=lambda one: one.runner_id)
        return StageChange(
            runner_id=chosen.runner_id, stage=stage_module.Stage.DECODE
        )
    if len(readers) < wanted:
        others = [one for one in ready if one not in readers]
        chosen = min(others, key=lambda one: one.runner_id)
        return StageChange(
            runner_id=chosen.runner_id, stage=stage_module.Stage.PREFILL
        )
    return None


def writers_after(
    change: StageChange,
    runners: typing.Iterable[runner_info.RunnerInfo],
    *,
    gone_s: typing.Mapping[str, float],
) -> int:
    """Return how many writers that answer are left during a change."""
    return sum(
        one.ready
        and one.stage is stage_module.Stage.DECODE
        and one.runner_id != change.runner_id
        and one.runner_id not in gone_s
        for one in runners
    )


def wait_s(change: StageChange, writers: int) -> float:
    """Return how long a change has to be wanted before it is ordered.

    Pattern: the last reader leaves while one of the two writers has just
    crashed, or is about to leave. The order took the other one away for
    eleven seconds; with the next loss nobody was left, and 94 streams of
    a day were refused while a runner stood idle between two stages.
    """
    if change.stage is stage_module.Stage.DECODE:
        return 0.0
    if not writers:
        return math.inf
    return LONE_WRITER_WAIT_S if writers == 1 else 0.0
