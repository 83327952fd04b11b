"""Determines how many of a service's runners should prefill."""

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

# Share of its time for which a prefill runner can be kept busy: prompts arrive
# in bursts, and a prompt that waits for more than a few others is late.
PREFILL_UTILIZATION = 0.85
# Bisection steps of the search for a split's rate, which is then found to a
# thousandth of the interval.
BISECTION_STEPS = 10
# Number of splits of a large pool that are tried first, and the factor by
# which the step shrinks from one round to the next.
INITIAL_SPLITS = 32
STEP_DIVISOR = 4
# A change takes a runner away until its streams have ended and its stage has
# changed, and undoing it takes as long. Because measured rates fluctuate, a
# change must raise the rate of accepted streams by this factor.
MIN_CHANGE_GAIN = 1.2
# In a large pool, a change takes a small part of it away, and a step of one
# runner gains little.
MIN_LARGE_POOL_GAIN = 1.05
LARGE_POOL_RUNNERS = 8
# Changes whose rates of accepted streams, or whose ratios of speeds, differ
# by less than these factors are equal. Measured speeds fluctuate.
MIN_SPEED_GAIN = 1.02
MIN_ADVANTAGE = 1.1
# At most one in this many runners, but at least one, changes its stage at a
# time.
RUNNERS_PER_CHANGE = 10
# A runner that has failed all requests for this long is considered gone for
# good: a runner that crashes is usually back within five seconds.
GONE_AFTER_S = 6.0
# If only two decode runners are left, a change of one of them is delayed by
# this time, because the other would be the only one during the change. Most
# runners that crash are back by then.
LAST_DECODE_RUNNER_GRACE_S = 4.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StageChange:
    """A runner that should change its stage, and the new stage."""

    runner_id: str
    stage: stage_module.Stage


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RunnerFactors:
    """A runner's speed in both stages, as ratios to the pool's means."""

    prefill: float = 1.0
    decode: float = 1.0


def streams_per_s(
    prefill_runners: float,
    decode_runners: float,
    *,
    engine: service_module.Engine,
    rates: stage_rates.StageRates,
) -> float:
    """Return the rate of streams that a split of the pool can accept.

    Prefill runners take as many prompts as they can; the decode runners
    prefill the rest. Meanwhile their streams decode at a slower pace and hold
    memory for longer. How much longer depends on the accepted rate, so the
    rate is found by bisection: it is the highest one at which the streams held
    at once fit the slots. If streams almost stop during a prefill, prefills by
    decode runners are not counted, because each of them makes the events of
    all other streams late.
    """
    by_prefill_runners = (
        prefill_runners * PREFILL_UTILIZATION / rates.prefill_s
    )
    max_busy = 0.0
    if prefill_pause.is_pace_sufficient(rates.pace_beside_prefill):
        max_busy = PREFILL_UTILIZATION
    max_streams = decode_runners * concurrent_streams(engine, rates)
    begin_s = rates.prefill_s + stream_times.FIRST_EVENT_OVERHEAD_S
    low = 0.0
    high = max_streams / (begin_s + rates.decode_s)
    for _ in range(BISECTION_STEPS):
        tried = (low + high) / 2
        by_each_decode_runner = (
            max(0.0, tried - by_prefill_runners) / decode_runners
        )
        busy = by_each_decode_runner * rates.self_prefill_s
        pace = 1 - busy * (1 - rates.pace_beside_prefill)
        fits = (
            busy <= max_busy
            and pace > 0
            and tried * (begin_s + rates.decode_s / pace) <= max_streams
        )
        if fits:
            low = tried
        else:
            high = tried
    return low


def target_prefill_count(
    runners: int,
    engine: service_module.Engine,
    rates: stage_rates.StageRates,
) -> int:
    """Return how many of a service's runners should prefill.

    Pattern: the ratio of prefill to decode work differs from service to
    service by a factor of ten. Prompts of 5,000 tokens with answers of 5,000
    need one prefill runner to five decode runners; with answers of 550, one to
    two. With one prefill runner too few, prompts wait while slots are free;
    with one too many, it is idle while no slots are free.

    So the split with the highest accepted rate is chosen, based on the
    measured lengths of prompts and answers, the speeds of prefill and decode,
    and the slots or memory, whichever is the limit.
    """
    if runners < 2:
        return 0
    if runners == 2 and _memory_binds(engine, rates):
        # A prefill runner's memory holds no streams. If memory is the limit,
        # one of two runners for prefill would leave half of the callers
        # without a slot.
        return 0
    best = 1
    best_per_s = 0.0
    # The rate rises to its peak and falls from there, so a large pool is
    # searched in steps that get smaller around the best split.
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
    """Return the number of streams that a decode runner holds at once.

    Parameters
    ----------
    engine : Engine
        Slots and memory of the runner.
    rates : StageRates
        Measured rates of its streams.
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
    """Return whether a decode runner runs out of memory before slots."""
    return engine.memory_tokens < engine.slots * rates.memory_tokens


def next_change(
    runners: typing.Iterable[runner_info.RunnerInfo],
    *,
    engine: service_module.Engine,
    changing: typing.Collection[str],
    rates: stage_rates.StageRates | None = None,
    gone_s: typing.Mapping[str, float] | None = None,
    min_gain: float = MIN_CHANGE_GAIN,
    factors: typing.Mapping[str, RunnerFactors] | None = None,
) -> StageChange | None:
    """Return the next change towards the target split, or None.

    Only a few runners change at a time: each is away for seconds. Until a
    runner announces its new stage, it is already counted there.

    Parameters
    ----------
    runners : iterable of RunnerInfo
        Runners of one service.
    engine : Engine
        Slots and memory of each runner.
    changing : collection of str
        Runners that were ordered to change their stage and have not done so.
    rates : StageRates, optional
        Measured rates; the default rates if omitted.
    gone_s : mapping of str to float, optional
        Time in seconds for which runners have seemed gone, by identity.
    min_gain : float
        Factor by which the target split must raise the rate of accepted
        streams.
    factors : mapping of str to RunnerFactors, optional
        Speed of each runner, by identity. Without it, the name decides which
        runner changes.
    """
    gone = {
        name for name, for_s in (gone_s or {}).items() if for_s >= GONE_AFTER_S
    }
    ready = [
        one
        for one in runners
        if one.ready and one.stage is not None and one.runner_id not in gone
    ]
    under_way = [one for one in ready if one.runner_id in changing]
    if not ready or len(under_way) >= _changes_at_once(len(ready)):
        return None
    if len(changing) > len(under_way):
        # A runner that was ordered to change is gone or leaving. The next
        # change is decided once that order is settled.
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
    target = target_prefill_count(len(ready), engine, rates)
    if will_prefill == target or not _is_worth_it(
        will_prefill, target, len(ready), engine, rates, min_gain
    ):
        return None
    if will_prefill > target and prefill_runners:
        # The last runner by name, so that every host that decides picks the
        # same runner.
        prefill_runners.sort(key=lambda one: one.runner_id, reverse=True)
        chosen = prefill_runners[0]
        if factors:
            chosen = _most_useful_change(
                prefill_runners,
                ready,
                engine=engine,
                rates=rates,
                factors=factors,
            )
        return StageChange(
            runner_id=chosen.runner_id, stage=stage_module.Stage.DECODE
        )
    if will_prefill < target and decode_runners:
        decode_runners.sort(key=lambda one: one.runner_id)
        chosen = decode_runners[0]
        if factors:
            chosen = _most_useful_change(
                decode_runners,
                ready,
                engine=engine,
                rates=rates,
                factors=factors,
            )
        return StageChange(
            runner_id=chosen.runner_id, stage=stage_module.Stage.PREFILL
        )
    return None


def min_gain(runners: int, *, is_shared: bool) -> float:
    """Return the factor by which a change must raise the accepted rate.

    Pattern: a pool of twenty runners starts with eight that prefill, where
    five or six would do. Each step towards that gains a few per cent, so that
    the factor of a small pool stops it half way; in a burst, decode runners
    are missing while prefill runners are idle.

    Parameters
    ----------
    runners : int
        Number of runners in the pool.
    is_shared : bool
        See `SchedulingTerms`.
    """
    if is_shared and runners >= LARGE_POOL_RUNNERS:
        return MIN_LARGE_POOL_GAIN
    return MIN_CHANGE_GAIN


def _most_useful_change(
    candidates: typing.Sequence[runner_info.RunnerInfo],
    runners: typing.Iterable[runner_info.RunnerInfo],
    *,
    engine: service_module.Engine,
    rates: stage_rates.StageRates,
    factors: typing.Mapping[str, RunnerFactors],
) -> runner_info.RunnerInfo:
    """Return the runner after whose change the pool accepts most streams.

    Each runner counts by its speed in its stage. If several changes lead to
    about the same rate, because the other stage is the limit, the runner is
    chosen that is fastest in its new stage compared with the present one. Of
    equals, it is the first one. Runners of about the same speeds are evaluated
    once.
    """
    equal = RunnerFactors()
    totals = {stage: 0.0 for stage in stage_module.Stage}
    for one in runners:
        known = factors.get(one.runner_id, equal)
        is_prefill = one.stage is stage_module.Stage.PREFILL
        stage = one.stage or stage_module.Stage.DECODE
        totals[stage] += known.prefill if is_prefill else known.decode
    found: list[tuple[float, float, runner_info.RunnerInfo]] = []
    evaluated = set()
    for one in candidates:
        known = factors.get(one.runner_id, equal)
        prefill = max(0.1, round(known.prefill, 1))
        decode = max(0.1, round(known.decode, 1))
        if (prefill, decode) in evaluated:
            continue
        evaluated.add((prefill, decode))
        advantage = prefill / decode
        if one.stage is stage_module.Stage.PREFILL:
            advantage = 1 / advantage
            prefill, decode = -prefill, -decode
        prefill_runners = totals[stage_module.Stage.PREFILL] + prefill
        decode_runners = totals[stage_module.Stage.DECODE] - decode
        if decode_runners <= 0:
            continue
        per_s = streams_per_s(
            max(0.0, prefill_runners),
            decode_runners,
            engine=engine,
            rates=rates,
        )
        found.append((per_s, advantage, one))
    if not found:
        return candidates[0]
    least_per_s = max(per_s for per_s, _, _ in found) / MIN_SPEED_GAIN
    good = [one for one in found if one[0] >= least_per_s]
    least_advantage = max(one[1] for one in good) / MIN_ADVANTAGE
    return next(one for _, got, one in good if got >= least_advantage)


def _changes_at_once(runners: int) -> int:
    """Return how many runners may change their stage at a time."""
    return max(1, runners // RUNNERS_PER_CHANGE)


def _is_worth_it(
    prefill_runners: int,
    target: int,
    runners: int,
    engine: service_module.Engine,
    rates: stage_rates.StageRates,
    min_gain: float,
) -> bool:
    """Return whether the target split accepts enough more streams."""
    if prefill_runners >= runners or runners <= 2:
        return True
    now_per_s = streams_per_s(
        prefill_runners, runners - prefill_runners, engine=engine, rates=rates
    )
    then_per_s = streams_per_s(
        target, runners - target, engine=engine, rates=rates
    )
    return then_per_s >= now_per_s * min_gain


def decode_runners_during_change(
    change: StageChange,
    runners: typing.Iterable[runner_info.RunnerInfo],
    *,
    gone_s: typing.Mapping[str, float],
) -> int:
    """Return how many working decode runners are left during a change."""
    return sum(
        one.ready
        and one.stage is stage_module.Stage.DECODE
        and one.runner_id != change.runner_id
        and one.runner_id not in gone_s
        for one in runners
    )


def leaves_enough_slots(
    change: StageChange,
    decode_runners: int,
    *,
    streams: int,
    engine: service_module.Engine,
    rates: stage_rates.StageRates | None = None,
) -> bool:
    """Return whether the decode runners that are left can hold all streams.

    Pattern: a burst arrives while two decode runners are left without a
    prefill runner. Together they serve more of it than a prefill runner and
    one decode runner, and while one of them changes its stage, the other
    serves half of it. With less load the change pays within seconds, because
    a decode runner delays its streams with each prompt that it prefills.

    Parameters
    ----------
    change : StageChange
        The change.
    decode_runners : int
        Number of decode runners that are left during the change.
    streams : int
        Streams that run or wait.
    engine : Engine
        Slots and memory of each runner.
    rates : StageRates, optional
        Measured rates; the default rates if omitted.
    """
    if change.stage is stage_module.Stage.DECODE or decode_runners != 1:
        return True
    rates = rates or stage_rates.default_rates(engine)
    return streams <= concurrent_streams(engine, rates)


def change_delay_s(change: StageChange, decode_runners: int) -> float:
    """Return how long a change must be wanted before it is ordered.

    Pattern: the last prefill runner leaves while one of the two decode runners
    has just crashed, or is about to leave. An order would take the other one
    away for seconds, and the next loss would leave no decode runner.
    """
    if change.stage is stage_module.Stage.DECODE:
        return 0.0
    if not decode_runners:
        return math.inf
    return LAST_DECODE_RUNNER_GRACE_S if decode_runners == 1 else 0.0
