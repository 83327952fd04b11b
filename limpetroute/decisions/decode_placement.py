"""Chooses the decode runner of a request.

Load pattern: decode runners that hold about twenty requests, with KV
memory near full, in zones of unequal distance. Without this decision, a
request goes to a runner whose memory is full, so that its prefill is
wasted, or over a busy link, where its prefill result expires on the
way. Among the `CANDIDATES` runners with the most free slots, the lowest
score wins: the predicted transfer time plus `FULLNESS_S` times the
fullness of the runner. A full batch counts as much as 50 ms of
transfer, which is about the time that it adds to a short answer.
"""

from limpetroute.decisions import fleet as fleet_module
from limpetroute.decisions import runner_facts
from limpetroute.decisions import runner_state
from limpetroute.decisions import transfer_budget
from limpetroute.decisions import work

CANDIDATES = 4
FULLNESS_S = 0.05


def choose(
    *,
    fleet: fleet_module.Fleet,
    transfers: transfer_budget.TransferBudget | None,
    item: work.Work,
    kv_bytes: int,
    source_zone: str,
    failed_runners: set[tuple[str, int]],
    now_s: float,
) -> runner_state.RunnerState | None:
    """Return the best runner with free capacity, or None.

    Parameters
    ----------
    transfers : TransferBudget or None
        Predicts transfer times; None leaves them out of the score.
    kv_bytes : int
        KV memory that the request needs.
    source_zone : str
        Availability zone of the prefill runner.
    failed_runners : set
        Runners, by name and incarnation, that failed this request.
    """
    best: runner_state.RunnerState | None = None
    best_s = 0.0
    role = runner_facts.Role.DECODE
    for state in fleet.least_loaded(role, item.model, CANDIDATES):
        if state.free_slots < 1:
            break
        if not state.fits(kv_bytes) or state.paused_until_s > now_s:
            continue
        if (state.runner_id, state.facts.incarnation) in failed_runners:
            continue
        capacity = max(1, state.facts.kv_capacity_bytes)
        fullness = max(
            1 - state.free_slots / max(1, state.facts.slots),
            1 - state.free_bytes / capacity,
        )
        score_s = FULLNESS_S * fullness
        if transfers is not None:
            link = (source_zone, state.facts.zone)
            score_s += transfers.predict_s(link, kv_bytes)
        if best is None or score_s < best_s:
            best = state
            best_s = score_s
    return best
