"""Cost of one event for the scheduler of a large fleet in a burst.

Pattern: more streams arrive than runners have capacity for, and every request,
finished prefill and end of a stream triggers a decision.
"""

import pytest

from tests.routing import full_fleet
from tests.routing import work_counter

EVENTS = 20


def lines_an_event(runners, waiting):
    """Return the mean number of lines executed for a request or an end."""
    fleet = full_fleet.FullFleet(runners, waiting)
    counter = work_counter.WorkCounter()
    with counter.counting():
        for _ in range(EVENTS):
            fleet.submit()
            fleet.decide()
            fleet.release()
            fleet.decide()
            fleet.now_s += 0.001
    return counter.lines / (2 * EVENTS)


def test_an_event_costs_no_more_while_more_streams_wait():
    """The leader's event loop stalled while a hundred streams waited."""
    few = lines_an_event(45, 10)
    many = lines_an_event(45, 100)
    assert many < 4 * few


def test_an_event_costs_no_more_on_a_larger_fleet():
    """The leader's event loop stalled in a pool with hundreds of runners."""
    small = lines_an_event(45, 20)
    large = lines_an_event(360, 20)
    assert large < 2 * small


@pytest.mark.parametrize('waiting', [10, 100])
def test_an_event_takes_a_bounded_number_of_steps(waiting):
    """A burst of 120 streams a second ended one leader's term after another.

    A decision may take 0.2 ms, which is about 2,000 lines.
    """
    assert lines_an_event(45, waiting) < 2000
