"""How many of a service's runners read prompts."""

import dataclasses
import typing

from limpetroute.decisions import stage as stage_module
from limpetroute.routing import runner_info

# Runners that decode for each one that reads prompts. A prompt of 5,000
# tokens is read in 90 ms and answered in 4 s in one of 12 places: one
# reader keeps 12 * 4 / 0.09 = 44 places, four runners, busy. Where
# memory binds, at 8 streams a runner, it is six. Five lies between.
DECODE_PER_PREFILL = 5


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StageChange:
    """A runner that is to change its stage."""

    runner_id: str
    stage: stage_module.Stage


def wanted_prefill(runners: int) -> int:
    """Return how many of a service's runners should read prompts.

    With none, decode runners read prompts between the tokens of others,
    which pauses every stream they have. With one too many, streams are
    refused for want of places while it stands idle: of three runners,
    two readers refused 47 of 165 streams on a calm day.
    """
    if runners < 2:
        return 0
    return max(1, round(runners / (DECODE_PER_PREFILL + 1)))


def next_change(
    runners: typing.Iterable[runner_info.RunnerInfo],
    *,
    changing: typing.Collection[str],
) -> StageChange | None:
    """Return the next change towards the wanted split, if one is due.

    One runner changes at a time: it is away for seconds, and until it
    announces its new stage, another change would be decided on a split
    that is about to be different.

    Parameters
    ----------
    runners : iterable of RunnerInfo
        Runners of one service.
    changing : collection of str
        Runners that were ordered to change and have not done so.
    """
    ready = [one for one in runners if one.ready and one.stage is not None]
    if changing or not ready:
        return None
    readers = [one for one in ready if one.stage is stage_module.Stage.PREFILL]
    wanted = wanted_prefill(len(ready))
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
