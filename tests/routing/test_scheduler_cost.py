"""What one event costs the scheduler of a large fleet in a burst.

Pattern: more streams come than runners have room for, and every request,
prompt read and end of a stream asks for a decision.
"""

import pytest

from tests.routing import full_fleet
from tests.routing import work_counter

EVENTS = 20


def lines_an_event(runners, waiting):
    """Return the lines that a request and an end take, on average."""
    fleet = full_fleet.FullFleet(runners, waiting)
    counter = work_counter.WorkCounter()
    with counter.counting():
        for _ in range(EVENTS):
            fleet.submit()
            fleet.decide()
            fleet.end()
            fleet.decide()
            fleet.now_s += 0.001
    return counter.lines / (2 * EVENTS)


def test_an_event_costs_no_more_while_more_streams_wait():
    """The leader's loop stood still while a hundred streams waited."""
    few = lines_an_event(45, 10)
    many = lines_an_event(45, 100)
    assert many < 4 * few


def test_an_event_costs_no_more_on_a_larger_fleet():
    """The leader's loop stood still where it had hundreds of runners."""
    small = lines_an_event(45, 20)
    large = lines_an_event(360, 20)
    assert large < 2 * small


@pytest.mark.parametrize('waiting', [10, 100])
def test_an_event_takes_a_bounded_number_of_steps(waiting):
    """A burst of 120 streams a second ended one leader's term after another.

    A decision may take 0.2 ms, which is some 2,000 lines.
    """
    assert lines_an_event(45, waiting) < 2000
