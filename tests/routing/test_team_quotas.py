"""Quotas that the leader keeps for all hosts."""

import hypothesis
from hypothesis import strategies
import pytest

from limpetroute.routing import quota_window
from limpetroute.routing import team
from limpetroute.routing import team_index
from limpetroute.routing import team_quotas

WINDOW = quota_window.QuotaWindow(window_s=8.0)
QUOTA = team.Quota(rate_per_s=100.0, burst=200.0, counts_tokens=True)
LIMIT = 1000.0


def make_quotas(quota=QUOTA, window=WINDOW):
    quotas = team_quotas.TeamQuotas(window=window)
    quotas.set_teams(make_index(quota))
    return quotas


def make_index(quota):
    return team_index.TeamIndex(teams=[team.Team(name='a', quota=quota)])


def test_a_request_may_overdraw_what_is_left():
    """A request larger than the whole quota would never run otherwise."""
    quotas = make_quotas()
    assert quotas.admit('a', 5000.0, 0.0).allowed
    assert not quotas.admit('a', 1.0, 1.0).allowed
    assert quotas.admit('a', 1.0, 8.5).allowed


def test_the_wait_of_a_refused_request_is_true():
    """Callers come back at the time that they are told."""
    quotas = make_quotas()
    for number in range(10):
        assert quotas.admit('a', 100.0, number * 0.5).allowed
    verdict = quotas.admit('a', 250.0, 5.0)
    assert not verdict.allowed
    back_s = 5.0 + verdict.wait_s
    assert quotas.level('a', back_s - 0.6) < 250.0
    assert quotas.level('a', back_s + 0.3) >= 250.0


def test_what_was_given_back_may_be_used_again():
    quotas = make_quotas()
    quotas.admit('a', LIMIT, 0.0)
    quotas.charge('a', -LIMIT, 1.0)
    assert quotas.admit('a', LIMIT, 1.0).allowed


def test_a_new_leader_charges_what_hosts_spent_before():
    """Each new leader would grant the whole quota again otherwise."""
    quotas = make_quotas()
    quotas.restore('e1', {'a': [(2.0, 600.0)]}, 10.0)
    quotas.restore('e2', {'a': [(1.0, 300.0)]}, 10.0)
    assert quotas.level('a', 10.0) == pytest.approx(100.0)


def test_a_repeated_report_is_charged_once():
    """The answer to a report may be lost, and the host sends it again."""
    quotas = make_quotas()
    quotas.restore('e1', {'a': [(2.0, 600.0)]}, 10.0)
    quotas.restore('e1', {'a': [(2.5, 600.0)]}, 10.5)
    assert quotas.level('a', 10.5) == pytest.approx(400.0)


def test_a_lower_quota_counts_what_ran_before_it():
    quotas = make_quotas()
    quotas.admit('a', 900.0, 0.0)
    quotas.set_teams(
        make_index(team.Quota(rate_per_s=10.0, burst=0.0, counts_tokens=True))
    )
    assert not quotas.admit('a', 1.0, 0.1).allowed


def test_a_higher_quota_is_granted_at_once():
    quotas = make_quotas()
    quotas.admit('a', LIMIT, 0.0)
    assert not quotas.admit('a', 1.0, 0.1).allowed
    quotas.set_teams(make_index(team.Quota(rate_per_s=200.0, burst=200.0)))
    assert quotas.admit('a', 1.0, 0.1).allowed


def test_a_team_without_a_quota_is_not_refused():
    quotas = make_quotas(quota=None)
    assert quotas.admit('a', 1e9, 0.0).allowed
    assert quotas.admit('unknown', 1e9, 0.0).allowed
    assert not quotas.nearest(0.0, 5)


def test_calm_teams_are_dropped(monkeypatch):
    """Thousands of teams have a quota, and few of them call."""
    monkeypatch.setattr(team_quotas, 'SWEEP_INTERVAL_TEAMS', 10)
    quotas = team_quotas.TeamQuotas(window=WINDOW)
    quotas.set_teams(
        team_index.TeamIndex(
            teams=[
                team.Team(name=f't{number}', quota=QUOTA)
                for number in range(100)
            ]
        )
    )
    for number in range(100):
        quotas.admit(f't{number}', 1.0, number * 10.0)
    assert len(quotas.nearest(1000.0, 100)) <= 10


STEPS = strategies.lists(
    strategies.tuples(
        strategies.floats(min_value=0.0, max_value=2.0),
        strategies.floats(min_value=1.0, max_value=400.0),
        strategies.booleans(),
    ),
    max_size=60,
)


@hypothesis.given(steps=STEPS)
def test_no_window_exceeds_the_limit_by_more_than_one_request(steps):
    quotas = make_quotas()
    ran = []
    now_s = 0.0
    for pause_s, cost, is_given_back in steps:
        now_s += pause_s
        if not quotas.admit('a', cost, now_s).allowed:
            continue
        if is_given_back:
            quotas.charge('a', -cost, now_s)
            continue
        ran.append((now_s, cost))
    for first_s, _ in ran:
        used = [c for at_s, c in ran if first_s <= at_s < first_s + 8.0]
        assert sum(used) <= LIMIT + 400.0


@hypothesis.given(steps=STEPS)
def test_what_stays_within_the_quota_is_never_refused(steps):
    quotas = make_quotas()
    asked = []
    now_s = 0.0
    for pause_s, cost, _ in steps:
        now_s += pause_s
        recent = sum(c for at_s, c in asked if now_s - at_s <= 8.25)
        if recent + cost > LIMIT:
            continue
        asked.append((now_s, cost))
        assert quotas.admit('a', cost, now_s).allowed
