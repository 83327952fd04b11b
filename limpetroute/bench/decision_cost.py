"""Measures what one decision costs as runners and teams grow."""

import time
import typing

from limpetroute.bench import measure as measure_module
from limpetroute.decisions import action
from limpetroute.decisions import full_policy
from limpetroute.decisions import policy_config
from limpetroute.decisions import runner_facts
from limpetroute.decisions import stage
from limpetroute.decisions import work

RUNNERS = (8, 40, 200, 1800)
TEAMS = (10, 100, 1000, 13000)
REQUESTS = 2000
GOAL_RUNNERS = 1800


def measure() -> list[dict[str, typing.Any]]:
    """Return the cost of a decision by runners, then by teams.

    A decision is one `offer` and the `actions` after it, on the wall
    clock. One model carries all runners, which is the worst for any
    search; the rows with a queue have all slots taken, so that every
    team's request waits.
    """
    rows = [_row(runners, 100, queued=False) for runners in RUNNERS]
    rows += [_row(8, teams, queued=True) for teams in TEAMS]
    rows.append(_row(GOAL_RUNNERS, TEAMS[-1], queued=True))
    return rows


def _row(runners: int, teams: int, *, queued: bool) -> dict[str, typing.Any]:
    policy = full_policy.FullPolicy(config=policy_config.PolicyConfig())
    for number in range(runners):
        policy.on_runner(_facts(number), 0.0)
    waiting = 0
    if queued:
        waiting = _fill(policy, runners, teams)
    costs = []
    for number in range(REQUESTS):
        item = _work(f'm{number}', f'team-{number % teams}')
        began_s = time.perf_counter()
        policy.offer(item, 0.0)
        todo = policy.actions(0.0)
        costs.append(1e6 * (time.perf_counter() - began_s))
        if not queued:
            _finish(policy, todo)
    return {
        'runners': runners,
        'teams': teams,
        'queued': waiting,
        'median_us': measure_module.quantile(costs, 0.5),
        'p99_us': measure_module.quantile(costs, 0.99),
    }


def _fill(policy: full_policy.FullPolicy, runners: int, teams: int) -> int:
    """Take all prefill runners, then queue one request for each team."""
    for number in range(runners + teams):
        policy.offer(_work(f'f{number}', f'team-{number % teams}'), 0.0)
        policy.actions(0.0)
    return teams


def _finish(policy: full_policy.FullPolicy, todo: list[action.Action]) -> None:
    for item in todo:
        policy.on_end(item.work_id, stage.Ending.CANCELLED, 0.0)
    policy.actions(0.0)


def _facts(number: int) -> runner_facts.RunnerFacts:
    role = runner_facts.Role.DECODE if number % 2 else None
    return runner_facts.RunnerFacts(
        runner_id=f'r{number:05}',
        incarnation=1,
        role=role or runner_facts.Role.PREFILL,
        zone=f'z{number % 24}',
        models=frozenset({'m'}),
        slots=20,
        kv_capacity_bytes=8 << 30,
        kv_bytes_per_token=131072,
    )


def _work(work_id: str, team: str) -> work.Work:
    return work.Work(
        work_id=work_id,
        team=team,
        model='m',
        prompt_tokens=2000,
        max_tokens=128,
        arrived_s=0.0,
        first_token_by_s=1e6,
        token_gap_s=0.031,
        prefix_blocks=tuple(range(30)),
    )
