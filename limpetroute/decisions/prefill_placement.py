"""Chooses the prefill runner: cached prefix against queue length.

Load pattern: shared prefixes, some of them hot, and runners of unequal
speed. Without the cache term every runner prefills every shared prefix
again; without the queue term the runner that holds a hot prefix is
overloaded. Both terms are in seconds and are added. If a runner's queue
takes longer than its cache saves, the prompt goes to another runner and
is cached there too, so a hot prefix spreads over several runners.

A prompt is sent only while the runner has at most `MAX_SENT_S` of this
host's work outstanding, because a prompt that waits in the router can
still be reordered, rejected or placed better, and a prompt that waits
at a runner cannot. 20 ms of work cover the network round trip. A runner
that holds the prefix may have up to `MAX_SENT_CACHED_S` outstanding.
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
    """A prefill runner and the predicted times of the prefill there.

    Parameters
    ----------
    state : RunnerState
        The runner.
    expected_cached : float
        Prompt tokens that are expected to be cached there.
    prefill_s : float
        Time of the prefill itself.
    prefill_done_in_s : float
        Time until the prefill ends, with the wait before it.
    """

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
    """Return the runner that finishes first, or None if all are full.

    Parameters
    ----------
    index : PrefixIndex or None
        Locates cached prefixes; None ignores caches.
    tokens : int
        Tokens to prefill, including those of a resumed answer.
    failed_runners : set
        Runners, by name and incarnation, that failed this request.
    excluded_id : str or None
        Runner that is reserved for short requests.
    """
    best: PrefillChoice | None = None
    role = runner_facts.Role.PREFILL
    states = list(fleet.least_loaded(role, item.model, CANDIDATES))
    holders = index.holders(item.prefix_blocks) if index else []
    for runner_id in holders:
        holder = fleet.runners.get(runner_id)
        if holder is None or holder in states or not holder.usable:
            continue
        if item.model in holder.facts.models and holder.facts.role is role:
            states.append(holder)
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
