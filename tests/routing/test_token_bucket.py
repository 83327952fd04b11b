"""The bucket that rate limits and quotas share."""

import hypothesis
from hypothesis import strategies
import pytest

from limpetroute.routing import token_bucket


def make_bucket(**fields):
    values = {'rate_per_s': 10.0, 'burst': 20.0, 'now_s': 0.0, **fields}
    return token_bucket.TokenBucket(**values)


def test_a_debt_is_refilled_before_tokens_are_left():
    bucket = make_bucket(tokens=20.0)
    bucket.take(50.0, 0.0)
    assert bucket.level(0.0) == -30.0
    assert bucket.wait_s(1.0, 0.0) == pytest.approx(3.1)
    assert bucket.level(4.0) == pytest.approx(10.0)


def test_a_wait_for_more_than_the_size_ends_with_a_full_bucket():
    """Otherwise a large request would be told to wait for ever."""
    bucket = make_bucket()
    assert bucket.wait_s(1000.0, 0.0) == pytest.approx(2.0)


def test_tokens_put_back_do_not_exceed_the_size():
    bucket = make_bucket(tokens=20.0)
    bucket.put_back(5.0, 0.0)
    assert bucket.level(0.0) == 20.0


def test_a_clock_that_steps_back_refills_nothing_twice():
    bucket = make_bucket()
    assert bucket.level(1.0) == pytest.approx(10.0)
    assert bucket.level(0.0) == pytest.approx(10.0)
    assert bucket.level(1.0) == pytest.approx(10.0)


@hypothesis.given(
    steps=strategies.lists(
        strategies.tuples(
            strategies.floats(min_value=0.0, max_value=3.0),
            strategies.floats(min_value=0.0, max_value=15.0),
        ),
        max_size=40,
    )
)
def test_what_is_taken_while_tokens_are_left_is_bounded(steps):
    """Rate x time + burst + one request bounds what was let through."""
    bucket = make_bucket(tokens=20.0)
    now_s = 0.0
    taken = 0.0
    for pause_s, cost in steps:
        now_s += pause_s
        if bucket.level(now_s) > 0.0:
            bucket.take(cost, now_s)
            taken += cost
    assert taken <= 10.0 * now_s + 20.0 + 15.0 + 1e-6
