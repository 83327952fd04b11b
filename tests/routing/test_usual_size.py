"""A mean that follows what comes."""

from limpetroute.routing import usual_size


def test_the_first_guess_holds_until_something_came():
    size = usual_size.UsualSize(5000.0)
    assert size.mean == 5000.0
    size.note(600.0)
    assert size.mean == 600.0


def test_it_follows_a_change_within_a_hundred():
    size = usual_size.UsualSize(0.0)
    for _ in range(500):
        size.note(100.0)
    for _ in range(100):
        size.note(1000.0)
    assert 900 < size.mean < 1000
