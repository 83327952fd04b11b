"""How many of a service's runners read prompts."""

import dataclasses
import math
import typing

from limpetroute.decisions import stage as stage_module
from limpetroute.routing import memory_headroom
from limpetroute.routing import prefill_pause
from limpetroute.routing import runner_info
from limpetroute.routing import service as service_module
from limpetroute.routing import stage_rates
from limpetroute.routing import stream_times

# Part of its time for which a prefill runner can be kept busy: prompts
# come in clumps, and one that waits for more than a few others is late.
PREFILL_UTILIZATION = 0.85
# Halvings of the interval in which a split's rate is looked for: to a
# thousandth of it.
HALVINGS = 10
# Splits of a large pool that are tried first, and by how much their
# distance shrinks from one round to the next.
INITIAL_SPLITS = 32
STEP_DIVISOR = 4
# A change takes a runner away for the time of its streams and of the
# change, and another one back takes as long. It has to let in this many
# times the streams, as measured rates move by themselves.
MIN_CHANGE_GAIN = 1.2
# One runner of this many may be changing at a time; of fewer, one.
RUNNERS_PER_CHANGE = 10
# A runner that has failed all it was sent for this long is taken to be
# gone for good: one that crashes is mostly back within five seconds.
GONE_AFTER_S = 6.0
# With two decode runners left and no other, neither is taken away at
# once: the other would be alone for the time of a change. Most runners
# that crash are back by then.
LAST_DECODE_RUNNER_GRACE_S = 4.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StageChange:
    """A runner that is to change its stage."""

    runner_id: str
    stage: stage_module.Stage


def streams_per_s(
    prefill_runners: int,
    decode_runners: int,
    *,
    engine: service_module.Engine,
    rates: stage_rates.StageRates,
) -> float:
    """Return how many streams a second a split lets in.

    Readers take what they can; the rest is read by the writers, whose
    streams go on at a slower pace meanwhile and hold their memory for
    longer. How much longer depends on how many are let in: the answer
    lies where places and the time for which they are held agree. Where
    streams all but stand still meanwhile, what writers read is not
    counted: each such prompt makes the events of all others late.
    """
    by_prefill_runners = (
        prefill_runners * PREFILL_UTILIZATION / rates.prefill_s
    )
    use = 0.0
    if prefill_pause.is_pace_sufficient(rates.pace_beside_prefill):
        use = PREFILL_UTILIZATION
    places = decode_runners * concurrent_streams(engine, rates)
    begin_s = rates.prefill_s + stream_times.FIRST_EVENT_OVERHEAD_S
    least = 0.0
    most = places / (begin_s + rates.decode_s)
    for _ in range(HALVINGS):
        tried = (least + most) / 2
        by_each_decode_runner = (
            max(0.0, tried - by_prefill_runners) / decode_runners
        )
        busy = by_each_decode_runner * rates.self_prefill_s
        pace = 1 - busy * (1 - rates.pace_beside_prefill)
        fits = (
            busy <= use
            and pace > 0
            and tried * (begin_s + rates.decode_s / pace) <= places
        )
        if fits:
            least = tried
        else:
            most = tried
    return least


def target_prefill_count(
    runners: int,
    engine: service_module.Engine,
    rates: stage_rates.StageRates,
) -> int:
    """Return how many of a service's runners should read prompts.

    Pattern: what prompts and answers ask of the two stages differs from
    service to service by a factor of ten. Prompts of 5,000 tokens with
    answers of 5,000 want one reader to five writers; with answers of 550,
    one to two. One reader too few, and prompts wait for it while slots
    stand empty; one too many, and it stands idle while there are no slots.

    So the split is taken that lets in the most streams by what is
    measured: the lengths that are asked for, the speeds of reading and
    writing, and what binds of places and memory.
    """
    if runners < 2:
        return 0
    if runners == 2 and _memory_binds(engine, rates):
        # A prefill runner's memory holds no streams: one of two that
        # reads leaves half of the callers out where memory binds.
        return 0
    best = 1
    best_per_s = 0.0
    # The rate rises to its peak and falls from there, so a large pool is
    # searched in steps that get smaller around the best one.
    step = max(1, runners // INITIAL_SPLITS)
    tried = range(0, runners, step)
    while True:
        for prefill_runners in tried:
            per_s = streams_per_s(
                prefill_runners,
                runners - prefill_runners,
                engine=engine,
                rates=rates,
            )
            if per_s > best_per_s:
                best, best_per_s = prefill_runners, per_s
        if step == 1:
            return best
        last, step = step, max(1, step // STEP_DIVISOR)
        tried = range(
            max(0, best - last + step), min(runners, best + last), step
        )


def concurrent_streams(
    engine: service_module.Engine, rates: stage_rates.StageRates
) -> float:
    """Return how many streams a decode runner has at once.

    Parameters
    ----------
    engine : Engine
        Its slots and memory.
    rates : StageRates
        What was measured of its streams.
    """
    usable_tokens = memory_headroom.usable_tokens(
        engine.memory_tokens,
        min(
            engine.slots, math.ceil(engine.memory_tokens / rates.memory_tokens)
        ),
        rates.deviation_tokens,
    )
    return min(float(engine.slots), usable_tokens / rates.memory_tokens)


def _memory_binds(
    engine: service_module.Engine, rates: stage_rates.StageRates
) -> bool:
    """Return whether a writer's memory is full before its places are."""
    return engine.memory_tokens < engine.slots * rates.memory_tokens


def next_change(
    runners: typing.Iterable[runner_info.RunnerInfo],
    *,
    engine: service_module.Engine,
    changing: typing.Collection[str],
    rates: stage_rates.StageRates | None = None,
    gone_s: typing.Mapping[str, float] | None = None,
) -> StageChange | None:
    """Return the next change towards the wanted split, if one is due.

    Few runners change at a time: each is away for seconds, and until it
    announces its new stage it is counted there already.

    Parameters
    ----------
    runners : iterable of RunnerInfo
        Runners of one service.
    engine : Engine
        Places and memory of each.
    changing : collection of str
        Runners that were ordered to change and have not done so.
    rates : StageRates, optional
        What was measured; a first guess if it is left out.
    gone_s : mapping of str to float, optional
        For how long runners have seemed gone, by identity.
    """
    lost = {
        name for name, for_s in (gone_s or {}).items() if for_s >= GONE_AFTER_S
    }
    ready = [
        one
        for one in runners
        if one.ready and one.stage is not None and one.runner_id not in lost
    ]
    under_way = [one for one in ready if one.runner_id in changing]
    if not ready or len(under_way) >= _changes_at_once(len(ready)):
        return None
    if len(changing) > len(under_way):
        # One that was ordered is gone or leaves: what it was ordered for
        # is decided anew once that is settled.
        return None
    rates = rates or stage_rates.default_rates(engine)
    settled = [one for one in ready if one.runner_id not in changing]
    prefill_runners = [
        one for one in settled if one.stage is stage_module.Stage.PREFILL
    ]
    decode_runners = [
        one for one in settled if one.stage is not stage_module.Stage.PREFILL
    ]
    will_prefill = len(prefill_runners) + sum(
        one.stage is stage_module.Stage.DECODE for one in under_way
    )
    wanted = target_prefill_count(len(ready), engine, rates)
    if will_prefill == wanted or not _is_worth_it(
        will_prefill, wanted, len(ready), engine, rates
    ):
        return None
    if will_prefill > wanted and prefill_runners:
        # The last by name: every host that decides picks the same one.
        chosen = max(prefill_runners, key=lambda one: one.runner_id)
        return StageChange(
            runner_id=chosen.runner_id, stage=stage_module.Stage.DECODE
        )
    if will_prefill < wanted and decode_runners:
        chosen = min(decode_runners, key=lambda one: one.runner_id)
        return StageChange(
            runner_id=chosen.runner_id, stage=stage_module.Stage.PREFILL
        )
    return None


def _changes_at_once(runners: int) -> int:
    """Return how many runners may be away for a change."""
    return max(1, runners // RUNNERS_PER_CHANGE)


def _is_worth_it(
    prefill_runners: int,
    wanted: int,
    runners: int,
    engine: service_module.Engine,
    rates: stage_rates.StageRates,
) -> bool:
    """Return whether the wanted split lets in enough more streams."""
    if prefill_runners >= runners or runners <= 2:
        return True
    now_per_s = streams_per_s(
        prefill_runners, runners - prefill_runners, engine=engine, rates=rates
    )
    then_per_s = streams_per_s(
        wanted, runners - wanted, engine=engine, rates=rates
    )
    return then_per_s >= now_per_s * MIN_CHANGE_GAIN


def decode_runners_during_change(
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


def change_delay_s(change: StageChange, decode_runners: int) -> float:
    """Return how long a change has to be wanted before it is ordered.

    Pattern: the last reader leaves while one of the two writers has just
    crashed, or is about to leave. An order takes the other one away for
    seconds, and with the next loss nobody is left.
    """
    if change.stage is stage_module.Stage.DECODE:
        return 0.0
    if not decode_runners:
        return math.inf
    return LAST_DECODE_RUNNER_GRACE_S if decode_runners == 1 else 0.0
