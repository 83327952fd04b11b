"""When refused callers come back, and whether they are let in then."""

import pytest

from limpetroute.routing import retry_after
from tests.routing import stream_play


def retry_after_s(*, arrivals, releases, expected_returns=0, remaining_s=14.0):
    estimator = retry_after.RetryAfterEstimator()
    for n in range(arrivals):
        estimator.note_arrival(n * 0.01)
    for n in range(releases):
        estimator.note_release(n * 0.01)
    return estimator.retry_after_s(
        slot_wait_s=0.4,
        expected_returns=expected_returns,
        remaining_s=remaining_s,
        now_s=1.0,
    )


def test_with_places_to_spare_the_next_free_one_is_told():
    assert retry_after_s(arrivals=4, releases=12) == 0.4


def test_those_told_before_are_let_in_first():
    """Eight places in two seconds are left beside the new streams."""
    assert retry_after_s(
        arrivals=4, releases=12, expected_returns=8
    ) == pytest.approx(2.4)


def test_while_new_streams_take_all_places_the_latest_is_told():
    assert retry_after_s(arrivals=12, releases=12) == pytest.approx(14.0 / 3)
    assert retry_after_s(arrivals=12, releases=12, remaining_s=6.0) == 2.0


def test_old_counts_are_forgotten():
    estimator = retry_after.RetryAfterEstimator()
    for n in range(50):
        estimator.note_arrival(n * 0.01)
    estimator.note_release(9.5)
    got = estimator.retry_after_s(
        slot_wait_s=0.5, expected_returns=0, remaining_s=14.0, now_s=10.0
    )
    assert got == 0.5


def test_after_a_burst_those_refused_in_it_are_let_in():
    """Twice the places' streams for four seconds, then fewer again.

    Who was refused at the beginning came back when the next place was
    free, met the same burst, and was refused for good: 4.5 of 148
    streams in each play.
    """
    load = {
        'decode_runners': 2,
        'base': 4.0,
        'peak': 9.0,
        'burst': (6.0, 10.0),
    }
    counts = stream_play.totals(**load)
    assert counts['lost'] / 8 < 3.5
    assert counts['in time'] / 8 > 120


def test_in_a_lasting_shortage_most_of_the_places_go_to_new_streams():
    """One decode runner for half again as many streams as it can write.

    Its places are as many either way: given to who comes back, each
    makes a new stream late in turn.
    """
    load = {
        'decode_runners': 1,
        'base': 4.5,
        'peak': 8.0,
        'burst': (6.0, 10.0),
    }
    counts = stream_play.totals(**load)
    assert counts['in time'] > 2.5 * counts['late']
    assert counts['late'] / 8 > 15
