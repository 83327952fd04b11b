"""Second sends stay bounded over all hosts.

Runners fail and every host sends each request twice; without a shared
bound the load doubles where it is least wanted, and callers of healthy
runners wait too.
"""

import random

from limpetroute.routing import retry_budget

RATIO = 0.2
SLACK = 54
WINDOW_S = 10.0
HOSTS = 7


def _fleet():
    return [
        retry_budget.RetryBudget(ratio=RATIO, slack=SLACK, window_s=WINDOW_S)
        for _ in range(HOSTS)
    ]


def test_all_hosts_together_keep_the_bound_in_any_window():
    rng = random.Random(1)
    budgets = _fleet()
    requests = []
    extras = []
    for step in range(4000):
        now_s = step * 0.02
        # Load comes unevenly, and everything fails.
        host = min(rng.randrange(HOSTS), rng.randrange(HOSTS))
        budgets[host].note_request(now_s)
        requests.append(now_s)
        if budgets[host].take(now_s, HOSTS):
            extras.append(now_s)
    for now_s in extras:
        window = [one for one in extras if now_s - WINDOW_S <= one <= now_s]
        sent = [one for one in requests if now_s - WINDOW_S <= one <= now_s]
        assert len(window) <= RATIO * len(sent) + SLACK


def test_a_host_that_takes_itself_for_alone_keeps_a_reserve():
    budget = retry_budget.RetryBudget(
        ratio=RATIO, slack=SLACK, window_s=WINDOW_S
    )
    taken = sum(budget.take(0.0, 1) for _ in range(200))
    assert 0 < taken <= SLACK / 2


def test_the_budget_comes_back_with_time():
    budget = retry_budget.RetryBudget(ratio=0, slack=4, window_s=1.0)
    assert [budget.take(0.0, 1) for _ in range(3)] == [True, True, False]
    assert budget.take(1.1, 1)
