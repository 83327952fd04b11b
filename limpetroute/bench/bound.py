"""An upper bound of goodput, from perfect knowledge of one play."""

import itertools

from limpetroute.bench import arrivals
from limpetroute.border import experiment

BATCH_OF_ONE = 1


def upper_bound_per_s(
    *,
    shape: experiment.DeploymentBody,
    pattern: experiment.PatternBody,
    plan: list[arrivals.Arrival],
) -> float:
    """Return more requests a second than any router can serve in time.

    Lengths are known, reports do not lag, runners of a role act as one,
    every shared prefix is read once only, the smallest requests are
    taken first, and no work waits for an earlier stage. Each of prefill
    time, slots and KV memory then allows a number of requests; the
    least is the bound.
    """
    counted = [
        arrival
        for arrival in plan
        if arrival.item.arrived_s >= pattern.warmup_s
        and arrival.cancel_s is None
    ]
    seconds = pattern.duration_s - pattern.warmup_s
    if not counted:
        return 0.0
    slack_s = max(
        arrival.item.first_token_by_s - arrival.item.arrived_s
        for arrival in counted
    )
    step_s = shape.step_s * (1 + BATCH_OF_ONE / shape.step_batch)
    full_s = shape.step_s * (1 + shape.slots / shape.step_batch)
    prefills = sum(pool.prefill for pool in shape.pools)
    decodes = sum(pool.decode for pool in shape.pools)
    seen: set[int] = set()
    prefill_s = []
    slot_steps = []
    kv_s = []
    for arrival in counted:
        item = arrival.item
        fresh = item.prompt_tokens - 64 * sum(
            block in seen for block in item.prefix_blocks
        )
        seen.update(item.prefix_blocks)
        prefill_s.append(
            shape.prefill_overhead_s + fresh / shape.prefill_tokens_per_s
        )
        slot_steps.append(arrival.answer_tokens * full_s)
        tokens = item.prompt_tokens + arrival.answer_tokens / 2
        kv_s.append(
            arrival.answer_tokens * step_s * tokens * shape.kv_bytes_per_token
        )
    window_s = seconds + slack_s
    most = min(
        len(counted),
        _fit(prefill_s, prefills * window_s),
        _fit(slot_steps, decodes * shape.slots * window_s),
        _fit(kv_s, decodes * shape.kv_capacity_bytes * window_s),
    )
    return most / seconds


def _fit(costs: list[float], room: float) -> int:
    """Count how many of the smallest costs fit."""
    sums = itertools.accumulate(sorted(costs))
    return sum(total <= room for total in sums)
