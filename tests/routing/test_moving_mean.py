"""A mean that follows recent values."""

from limpetroute.routing import moving_mean


def test_the_initial_guess_holds_until_the_first_value():
    assert moving_mean.MovingMean(5000.0).mean == 5000.0


def test_a_few_outliers_change_the_mean_little():
    """The first three callers of a day expect short answers."""
    size = moving_mean.MovingMean(5000.0)
    for _ in range(3):
        size.note(1500.0)
    assert size.mean > 4000


def test_a_wrong_initial_guess_fades():
    size = moving_mean.MovingMean(5000.0)
    for _ in range(100):
        size.note(600.0)
    assert size.mean < 1000


def test_the_mean_follows_a_change_within_a_hundred_values():
    size = moving_mean.MovingMean(0.0)
    for _ in range(500):
        size.note(100.0)
    for _ in range(100):
        size.note(1000.0)
    assert 900 < size.mean < 1000
