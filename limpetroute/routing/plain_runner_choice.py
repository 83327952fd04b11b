"""Where a plain request goes."""

import random
import typing

from limpetroute.routing import runner_info
from limpetroute.routing import runner_load

# Requests that a runner of the own zone may have more than the least
# loaded one and still be taken. Hosts don't see each other's requests,
# so a difference of one says little; bytes between zones are paid for.
OWN_ZONE_BONUS_REQUESTS = 1.0


def choose(
    runners: typing.Iterable[runner_info.RunnerInfo],
    *,
    loads: typing.Mapping[str, runner_load.RunnerLoad],
    zone: str,
    tried: typing.Collection[str],
    now_s: float,
    rng: random.Random,
) -> runner_info.RunnerInfo | None:
    """Return the runner for a request, or None if there is none.

    Many hosts choose without knowing of each other. The least loaded by
    the own count, ties by lot, keeps them from all taking the same one.
    A runner that rests after a failure comes last, not never: with all
    of them resting, one of them is still the best try. One whose limit of
    requests a second is spent is left out: the rest goes elsewhere, or
    back to its callers.

    Parameters
    ----------
    runners : iterable of RunnerInfo
        Runners of the service.
    loads : mapping of str to RunnerLoad
        What is known of each, by identity.
    zone : str
        The own zone.
    tried : collection of str
        Runners that this request was sent to.
    now_s : float
        A steady clock.
    rng : random.Random
        Breaks ties.
    """
    best = None
    best_rank: tuple[bool, float, float] | None = None
    for one in runners:
        if not one.ready or one.runner_id in tried:
            continue
        load = loads.get(one.runner_id) or runner_load.RunnerLoad()
        if load.is_limited(now_s):
            continue
        waiting = float(load.requests)
        if one.zone == zone:
            waiting -= OWN_ZONE_BONUS_REQUESTS
        rank = (load.is_ejected(now_s), waiting, rng.random())
        if best_rank is None or rank < best_rank:
            best, best_rank = one, rank
    return best


def limit_wait_s(
    runners: typing.Iterable[runner_info.RunnerInfo],
    *,
    loads: typing.Mapping[str, runner_load.RunnerLoad],
    tried: typing.Collection[str],
    now_s: float,
) -> float:
    """Return when one of the limited runners takes a request again.

    0 if no runner is left out for its limit alone.
    """
    waits_s = [
        loads[one.runner_id].limited_until_s - now_s
        for one in runners
        if one.ready and one.runner_id in loads and one.runner_id not in tried
    ]
    return min((one for one in waits_s if one > 0.0), default=0.0)
