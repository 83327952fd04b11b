"""Chooses the runner of a plain request."""

import random
import typing

from limpetroute.routing import runner_info
from limpetroute.routing import runner_load

# A runner in this host's zone is preferred while it has at most this many
# more requests than the least loaded runner. Hosts do not see each other's
# requests, so a difference of one request means little, while traffic
# between zones costs money.
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

    Hosts choose independently of each other. Each takes the runner with
    the fewest of its own requests and breaks ties at random, so that the
    hosts do not all choose the same runner.

    Ejected runners rank last but are not left out: if all runners are
    ejected, one of them is still the best choice. A runner whose rate
    limit is used up is left out; the request goes to another runner, or
    is refused so that the caller may retry.

    Parameters
    ----------
    runners : iterable of RunnerInfo
        Runners of the service.
    loads : mapping of str to RunnerLoad
        Known load of the runners, by identity.
    zone : str
        This host's zone.
    tried : collection of str
        Runners that this request was sent to already.
    now_s : float
        Time of a monotonic clock.
    rng : random.Random
        Breaks ties.
    """
    best = None
    best_rank: tuple[bool, float, float] | None = None
    for runner in runners:
        if not runner.ready or runner.runner_id in tried:
            continue
        load = loads.get(runner.runner_id) or runner_load.RunnerLoad()
        if load.is_limited(now_s):
            continue
        requests = float(load.requests)
        if runner.zone == zone:
            requests -= OWN_ZONE_BONUS_REQUESTS
        rank = (load.is_ejected(now_s), requests, rng.random())
        if best_rank is None or rank < best_rank:
            best, best_rank = runner, rank
    return best


def limit_wait_s(
    runners: typing.Iterable[runner_info.RunnerInfo],
    *,
    loads: typing.Mapping[str, runner_load.RunnerLoad],
    tried: typing.Collection[str],
    now_s: float,
) -> float:
    """Return the time until the next rate-limited runner takes a request.

    0 if no runner is left out because of its rate limit alone.
    """
    waits_s = [
        loads[runner.runner_id].limited_until_s - now_s
        for runner in runners
        if runner.ready
        and runner.runner_id in loads
        and runner.runner_id not in tried
    ]
    return min((wait_s for wait_s in waits_s if wait_s > 0.0), default=0.0)
