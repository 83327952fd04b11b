"""Quotas over many hosts while leaders are lost and hosts are cut off.

Pattern: one team sends six times its usual through all hosts, and a few
hosts get half of it.
"""

import hypothesis
from hypothesis import strategies
import pytest

from limpetroute.bench import quota_play
from limpetroute.bench import quota_shape
from limpetroute.routing import team

SIZES = (7, 71, 195, 350)
SPAN = quota_shape.Span


def play(hosts, *, way='reports', seed=1, **fields):
    shape = quota_shape.QuotaShape(hosts=hosts, **fields)
    return quota_play.QuotaPlay(shape=shape, way=way, seed=seed).run()


@pytest.mark.parametrize('hosts', SIZES)
def test_with_a_leader_no_team_within_its_quota_is_refused(hosts):
    result = play(hosts)
    assert result.refused_within <= 0.001
    assert result.most_of_bound <= 1.0
    assert 0.95 <= result.hot_share <= 1.1
    assert result.mean_wait_ms == 0.0


@pytest.mark.parametrize('hosts', SIZES)
def test_two_leaders_lost_in_one_window(hosts):
    """Each new leader would grant the whole quota again otherwise."""
    result = play(
        hosts,
        leaderless=(
            SPAN(first_s=9.0, last_s=10.5),
            SPAN(first_s=12.0, last_s=13.5),
        ),
    )
    assert result.most_of_bound <= 1.0
    assert result.refused_within <= 0.05


@pytest.mark.parametrize('hosts', SIZES)
def test_hosts_that_are_cut_off(hosts):
    """They know nothing of what runs at other hosts."""
    result = play(
        hosts,
        cut_off=(SPAN(first_s=6.0, last_s=14.0),),
        cut_hosts=max(1, hosts // 20),
    )
    assert result.most_of_bound <= 1.0
    assert result.refused_within <= 0.05


@pytest.mark.parametrize('hosts', SIZES)
def test_a_frozen_host_wakes_with_requests_in_hand(hosts):
    result = play(hosts, frozen=SPAN(first_s=8.0, last_s=12.0))
    assert result.most_of_bound <= 1.0
    assert result.refused_within <= 0.001


@pytest.mark.parametrize('rate', [5_000.0, 90_000.0])
def test_another_quota_while_the_team_is_hot(rate):
    quota = team.Quota(rate_per_s=rate, burst=rate, counts_tokens=True)
    change = quota_shape.QuotaChange(at_s=10.0, quota=quota)
    result = play(71, change=change)
    assert result.most_of_bound <= 1.0
    assert result.refused_within <= 0.001


@hypothesis.settings(max_examples=25, deadline=None)
@hypothesis.given(
    hosts=strategies.sampled_from(SIZES[:2]),
    seed=strategies.integers(0, 1000),
    lost_s=strategies.lists(
        strategies.floats(min_value=2.0, max_value=18.0), max_size=2
    ),
    hot_factor=strategies.floats(min_value=1.0, max_value=8.0),
)
def test_no_window_exceeds_its_bound(hosts, seed, lost_s, hot_factor):
    result = play(
        hosts,
        seed=seed,
        play_s=20.0,
        teams=3,
        hot_factor=hot_factor,
        leaderless=tuple(
            SPAN(first_s=first_s, last_s=first_s + 1.5) for first_s in lost_s
        ),
    )
    assert result.most_of_bound <= 1.0
