"""A mean that follows what comes."""

from limpetroute.routing import moving_mean


def test_the_first_guess_holds_until_something_came():
    assert moving_mean.MovingMean(5000.0).mean == 5000.0


def test_a_few_that_are_far_off_say_little():
    """The first three callers of a day expect short answers."""
    size = moving_mean.MovingMean(5000.0)
    for _ in range(3):
        size.note(1500.0)
    assert size.mean > 4000


def test_a_first_guess_that_is_wrong_is_forgotten():
    size = moving_mean.MovingMean(5000.0)
    for _ in range(100):
        size.note(600.0)
    assert size.mean < 1000


def test_it_follows_a_change_within_a_hundred():
    size = moving_mean.MovingMean(0.0)
    for _ in range(500):
        size.note(100.0)
    for _ in range(100):
        size.note(1000.0)
    assert 900 < size.mean < 1000
