"""Chooses where a prompt is read: cached prefix against queue.

Load pattern: shared prefixes, some of them hot, and runners of unequal
speed. Without the cache term each runner reads every wording anew;
without the queue term the runner that holds a hot prefix melts. Both
are seconds, so they are simply added: a runner that is busy longer
than its cache saves loses, the prompt goes elsewhere and is cached
there too, and a hot prefix spreads by itself.

A prompt is sent while the runner has at most `PIPELINE_S` of our work:
what waits in the router can still be reordered, refused or placed
better; what waits at a runner cannot. 20 ms hides the way there and
back. `QUEUE_S` is the work behind which a cached runner may be queued.
"""

import dataclasses

from limpetroute.decisions import fleet as fleet_module
from limpetroute.decisions import predictor as predictor_module
from limpetroute.decisions import prefix_index
from limpetroute.decisions import runner_facts
from limpetroute.decisions import runner_state
from limpetroute.decisions import work

PIPELINE_S = 0.02
QUEUE_S = 0.15
CANDIDATES = 4


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PrefillChoice:
    """A runner and when it would be done."""

    state: runner_state.RunnerState
    expected_cached: float
    read_s: float
    done_in_s: float


def choose(
    *,
    fleet: fleet_module.Fleet,
    index: prefix_index.PrefixIndex | None,
    predictor: predictor_module.Predictor,
    item: work.Work,
    tokens: int,
    tried: set[tuple[str, int]],
    barred: str | None,
    now_s: float,
) -> PrefillChoice | None:
    """Return the runner that is done first, or None while all are full.

    Parameters
    ----------
    tokens : int
        Tokens to read, with those of an answer that is continued.
    tried : set
        Runners, by name and incarnation, that failed this request.
    barred : str or None
        Runner kept open for short work.
    """
    best: PrefillChoice | None = None
    role = runner_facts.Role.PREFILL
    states = list(fleet.best(role, item.model, CANDIDATES))
    holders = index.holders(item.prefix_blocks) if index else []
    for runner_id in holders:
        held = fleet.runners.get(runner_id)
        if held is None or held in states or not held.usable:
            continue
        if item.model in held.facts.models and held.facts.role is role:
            states.append(held)
    for state in states:
        if state.runner_id == barred or state.paused_until_s > now_s:
            continue
        if (state.runner_id, state.facts.incarnation) in tried:
            continue
        limit_s = QUEUE_S if state.runner_id in holders else PIPELINE_S
        if state.outstanding and state.outstanding_s > limit_s:
            continue
        cached = 0.0
        if index is not None:
            cached = index.expected_tokens(
                state.runner_id, item.prefix_blocks, now_s
            )
        read_s = predictor.prefill_s(
            state.runner_id, max(1.0, tokens - cached)
        )
        wait_s = state.outstanding_s + predictor.wait_s(state.runner_id)
        done_in_s = wait_s + read_s
        if best is None or done_in_s < best.done_in_s:
            best = PrefillChoice(
                state=state,
                expected_cached=cached,
                read_s=read_s,
                done_in_s=done_in_s,
            )
    return best
