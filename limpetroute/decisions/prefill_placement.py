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

MAX_SENT_S = 0.02
MAX_SENT_CACHED_S = 0.15
CANDIDATES = 4


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PrefillChoice:
    """A runner and when it would be done."""

    state: runner_state.RunnerState
    expected_cached: float
    prefill_s: float
    prefill_done_in_s: float


def choose(
    *,
    fleet: fleet_module.Fleet,
    index: prefix_index.PrefixIndex | None,
    predictor: predictor_module.Predictor,
    item: work.Work,
    tokens: int,
    failed_runners: set[tuple[str, int]],
    excluded_id: str | None,
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
    states = list(fleet.least_loaded(role, item.model, CANDIDATES))
    holders = index.holders(item.prefix_blocks) if index else []
    for runner_id in holders:
        held = fleet.runners.get(runner_id)
        if held is None or held in states or not held.usable:
            continue
        if item.model in held.facts.models and held.facts.role is role:
            states.append(held)
    for state in states:
        if state.runner_id == excluded_id or state.paused_until_s > now_s:
            continue
        if (state.runner_id, state.facts.incarnation) in failed_runners:
            continue
        limit_s = (
            MAX_SENT_CACHED_S if state.runner_id in holders else MAX_SENT_S
        )
        if (
            state.outstanding_prefills
            and state.outstanding_prefill_s > limit_s
        ):
            continue
        cached = 0.0
        if index is not None:
            cached = index.expected_tokens(
                state.runner_id, item.prefix_blocks, now_s
            )
        prefill_s = predictor.prefill_s(
            state.runner_id, max(1.0, tokens - cached)
        )
        wait_s = state.outstanding_prefill_s + predictor.foreign_wait_s(
            state.runner_id
        )
        prefill_done_in_s = wait_s + prefill_s
        if best is None or prefill_done_in_s < best.prefill_done_in_s:
            best = PrefillChoice(
                state=state,
                expected_cached=cached,
                prefill_s=prefill_s,
                prefill_done_in_s=prefill_done_in_s,
            )
    return best
