"""Where a stream's prompt is read and where its answer is written."""

import random
import typing

from limpetroute.decisions import stage as stage_module
from limpetroute.routing import placement
from limpetroute.routing import runner_info
from limpetroute.routing import runner_load
from limpetroute.routing import service as service_module

# A host that decides alone knows no measured pauses: up to this length,
# a prompt holds streams of the longest events up for less than 300 ms.
MAX_SELF_PREFILL_TOKENS = 5500


def may_self_prefill_locally(
    request: placement.PlacementRequest, *, entry_hosts: int
) -> bool:
    """Return whether a host may have a decode runner read this prompt.

    Pattern: a leader and the last prefill runner are lost together. A
    host that decides alone does not see the other hosts' streams at the
    decode runner, and a long prompt holds all of them up. A leader is
    there within about a second, and knows whether the runner has little
    to do.
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
    now_s: float,
    rng: random.Random,
) -> runner_info.RunnerInfo | None:
    """Return the decode runner with most free memory that has room.

    Memory binds before places do: an answer that outgrows it preempts
    the newest, which pauses for the time of a whole prefill.

    Parameters
    ----------
    runners : iterable of RunnerInfo
        Runners of the service.
    engine : Engine
        Their places and memory.
    loads : mapping of str to RunnerLoad
        What is known of each, by identity.
    tokens : int
        Most tokens that the request takes.
    part : float
        Part of a runner that this host may use, as it sees only its
        own requests; at least one request of any size.
    tried : collection of str
        Runners that it was sent to.
    now_s : float
        A steady clock.
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
    """Return the prefill runner with fewest tokens to read, if any."""
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
