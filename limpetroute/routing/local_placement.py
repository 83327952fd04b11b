"""Places streams on a host that cannot reach the leader."""

import random
import typing

from limpetroute.decisions import stage as stage_module
from limpetroute.routing import placement
from limpetroute.routing import runner_info
from limpetroute.routing import runner_load
from limpetroute.routing import service as service_module

# A host that places streams by itself has no measured gaps between events. Up
# to this length, a prompt delays streams with the longest events by less than
# 300 ms.
MAX_SELF_PREFILL_TOKENS = 5500


def may_self_prefill_locally(
    request: placement.PlacementRequest, *, entry_hosts: int
) -> bool:
    """Return whether a host may have a decode runner prefill this prompt.

    Pattern: the leader and the last prefill runner are lost together. A host
    that places streams by itself does not see the streams of other hosts on a
    decode runner, and prefilling a long prompt there delays all of them. A new
    leader is elected within about a second, and its scheduler can tell whether
    the runner has few streams.
    """
    if entry_hosts <= 1:
        return True
    return request.prefill_tokens <= MAX_SELF_PREFILL_TOKENS


def choose_decode(
    runners: typing.Iterable[runner_info.RunnerInfo],
    *,
    engine: service_module.Engine,
    loads: typing.Mapping[str, runner_load.RunnerLoad],
    tokens: int,
    share: float,
    tried: typing.Collection[str],
    version: str | None = None,
    now_s: float,
    rng: random.Random,
) -> runner_info.RunnerInfo | None:
    """Return the decode runner with the most free memory that has capacity.

    Memory limits a runner before its slots do: if an answer outgrows the
    memory, the newest stream is preempted and pauses for a whole prefill.

    Parameters
    ----------
    runners : iterable of RunnerInfo
        Runners of the service.
    engine : Engine
        Slots and memory of each runner.
    loads : mapping of str to RunnerLoad
        Load and health of each runner as seen by this host, by identity.
    tokens : int
        Maximum number of tokens that the request takes.
    share : float
        Share of each runner that this host may use, because it sees only its
        own requests. A request of any size is accepted by a runner that has
        none.
    tried : collection of str
        Runners that the request was already sent to.
    version : str or None
        Software version that the runner must have; None for any.
    now_s : float
        Monotonic time in seconds.
    rng : random.Random
        Breaks ties.
    """
    best = None
    best_rank: tuple[bool, int, float] | None = None
    for one in runners:
        if not one.ready or one.stage is not stage_module.Stage.DECODE:
            continue
        if one.runner_id in tried:
            continue
        if version is not None and one.version != version:
            continue
        load = loads.get(one.runner_id) or runner_load.RunnerLoad()
        if load.is_limited(now_s) or load.seems_full(engine.slots, now_s):
            continue
        if load.requests and load.requests >= engine.slots * share:
            continue
        memory_tokens = engine.memory_tokens * min(1.0, share)
        if load.requests and load.tokens + tokens > memory_tokens:
            continue
        rank = (load.is_ejected(now_s), load.tokens, rng.random())
        if best_rank is None or rank < best_rank:
            best, best_rank = one, rank
    return best


def choose_prefill(
    runners: typing.Iterable[runner_info.RunnerInfo],
    *,
    loads: typing.Mapping[str, runner_load.RunnerLoad],
    now_s: float,
    rng: random.Random,
) -> runner_info.RunnerInfo | None:
    """Return the prefill runner with the fewest tokens to prefill, or None."""
    best = None
    best_rank: tuple[int, float] | None = None
    for one in runners:
        if not one.ready or one.stage is not stage_module.Stage.PREFILL:
            continue
        load = loads.get(one.runner_id) or runner_load.RunnerLoad()
        if load.is_ejected(now_s) or load.is_limited(now_s):
            continue
        rank = (load.tokens, rng.random())
        if best_rank is None or rank < best_rank:
            best, best_rank = one, rank
    return best
