"""Quotas as one entry host keeps them."""

import pytest

from limpetroute.routing import host_quotas
from limpetroute.routing import quota_window
from limpetroute.routing import team

WINDOW = quota_window.QuotaWindow(window_s=8.0)
QUOTA = team.Quota(rate_per_s=1000.0, burst=2000.0, counts_tokens=True)
LIMIT = 10_000.0
LARGE = 12_000.0


def make_host():
    return host_quotas.HostQuotas(window=WINDOW)


def admit(host, cost, now_s, hosts=10):
    return host.admit_without_leader('a', QUOTA, cost, now_s, hosts)


def test_an_unknown_team_runs_on_credit_and_is_reported():
    host = make_host()
    assert host.admit_with_leader('a', QUOTA, 200.0, 1.0).allowed
    assert host.report_delay_s(1.0) == host_quotas.UNKNOWN_REPORT_DELAY_S
    assert host.take_unreported(1.2) == {'a': 200.0}
    assert host.report_delay_s(1.2) is None


def test_a_used_up_quota_refuses_until_units_are_left_again():
    host = make_host()
    host.admit_with_leader('a', QUOTA, 200.0, 1.0)
    host.take_unreported(1.2)
    host.note_levels({'a': -500.0}, 1.2)
    verdict = host.admit_with_leader('a', QUOTA, 200.0, 1.3)
    assert not verdict.allowed
    assert verdict.wait_s == pytest.approx(0.6)
    assert host.admit_with_leader('a', QUOTA, 200.0, 1.8).allowed


def test_a_team_near_its_quota_is_reported_soon():
    """The other hosts learn of it by the reports."""
    host = make_host()
    host.admit_with_leader('a', QUOTA, 200.0, 1.0)
    host.take_unreported(1.0)
    host.note_levels({'a': LIMIT}, 1.0)
    host.admit_with_leader('a', QUOTA, 200.0, 1.1)
    assert host.report_delay_s(1.1) == host_quotas.CALM_REPORT_DELAY_S
    host.note_levels({'a': 300.0}, 1.1)
    assert host.report_delay_s(1.1) == host_quotas.LOW_REPORT_DELAY_S


def test_a_failed_report_is_sent_again():
    host = make_host()
    host.admit_with_leader('a', QUOTA, 200.0, 1.0)
    spent = host.take_unreported(1.0)
    host.admit_with_leader('a', QUOTA, 300.0, 1.1)
    host.put_back_unreported(spent)
    assert host.take_unreported(1.2) == {'a': 500.0}


def test_a_new_leader_is_told_everything_once():
    host = make_host()
    host.admit_with_leader('a', QUOTA, 200.0, 1.0)
    host.note_granted('a', QUOTA, LARGE, 3.0)
    history = host.take_history(4.0)
    assert sum(units for _, units in history['a']) == 200.0 + LARGE
    assert host.take_unreported(4.0) == {}


def test_a_host_that_slept_tells_nothing_that_left_the_window():
    """A frozen host wakes with amounts that no longer count."""
    host = make_host()
    host.note_granted('a', QUOTA, LARGE, 1.0)
    assert host.take_history(20.0) == {}


def test_a_cut_off_host_lets_a_calm_team_overdraw_its_share_once():
    """One large request is more than the share of a host among many."""
    host = make_host()
    host.note_low_teams([], 0.5)
    assert admit(host, LARGE, 1.0).allowed
    refused = admit(host, 200.0, 1.1)
    assert not refused.allowed
    assert not refused.by_leader
    assert refused.wait_s <= host_quotas.MAX_LOCAL_WAIT_S


def test_a_cut_off_host_keeps_a_team_near_its_quota_to_its_share():
    """Otherwise all hosts together run far more while nobody leads."""
    host = make_host()
    host.note_low_teams(['a'], 1.0)
    assert not admit(host, LARGE, 1.1).allowed
    assert not admit(host, 200.0, 1.1).allowed
    assert admit(host, 200.0, 3.3).allowed
    assert not admit(host, 200.0, 3.3).allowed


def test_a_host_that_was_cut_off_long_ago_lets_nothing_overdraw():
    """A team that was calm then may be hot now, at all other hosts."""
    host = make_host()
    host.note_low_teams([], 0.5)
    assert not admit(host, LARGE, 10.0).allowed
    assert admit(host, 200.0, 10.0).allowed


def test_another_quota_makes_the_known_level_void():
    host = make_host()
    host.admit_with_leader('a', QUOTA, 200.0, 1.0)
    host.note_levels({'a': -5000.0}, 1.0)
    higher = team.Quota(rate_per_s=9000.0, burst=9000.0, counts_tokens=True)
    assert host.admit_with_leader('a', higher, 200.0, 1.1).allowed


def test_calm_teams_are_dropped():
    host = make_host()
    for number in range(50):
        host.admit_with_leader(f't{number}', QUOTA, 1.0, 1.0)
    host.take_unreported(1.0)
    host.take_unreported(20.0)
    assert not host._teams
