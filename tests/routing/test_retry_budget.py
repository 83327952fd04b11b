"""The retries of all hosts together stay bounded.

If runners fail and every host retries each request, the load doubles on
the remaining runners, and callers of healthy runners wait as well.
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
    retries = []
    for step in range(4000):
        now_s = step * 0.02
        # The load is uneven over the hosts, and every request fails.
        host = min(rng.randrange(HOSTS), rng.randrange(HOSTS))
        budgets[host].note_request(now_s)
        requests.append(now_s)
        if budgets[host].take(now_s, HOSTS):
            retries.append(now_s)
    for now_s in retries:
        window = [
            at_s for at_s in retries if now_s - WINDOW_S <= at_s <= now_s
        ]
        sent = [at_s for at_s in requests if now_s - WINDOW_S <= at_s <= now_s]
        assert len(window) <= RATIO * len(sent) + SLACK


def test_a_host_that_sees_no_others_uses_half_of_the_slack():
    budget = retry_budget.RetryBudget(
        ratio=RATIO, slack=SLACK, window_s=WINDOW_S
    )
    taken = sum(budget.take(0.0, 1) for _ in range(200))
    assert 0 < taken <= SLACK / 2


def test_the_budget_recovers_after_the_window():
    budget = retry_budget.RetryBudget(ratio=0, slack=4, window_s=1.0)
    assert [budget.take(0.0, 1) for _ in range(3)] == [True, True, False]
    assert budget.take(1.1, 1)


def test_a_retry_that_is_given_back_can_be_taken_again():
    budget = retry_budget.RetryBudget(ratio=0, slack=4, window_s=1.0)
    assert [budget.take(0.0, 1) for _ in range(3)] == [True, True, False]
    budget.give_back()
    assert [budget.take(0.1, 1) for _ in range(2)] == [True, False]
