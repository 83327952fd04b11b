"""How long streams pause while their runner reads a prompt."""

import math

import pytest

from limpetroute.routing import reading_pause

LIMIT_S = 0.3


def make_pause(first_pace=0.06):
    return reading_pause.ReadingPause(first_pace=first_pace)


def test_before_anything_is_measured_the_guess_suits_long_events():
    """5,500 tokens are read in 0.22 s; 6,500 hold streams up too long."""
    assert 0.2 < make_pause().longest_reading_s(LIMIT_S) < 0.26


def test_where_events_are_short_any_prompt_may_be_read():
    """An event has eight tokens: a prompt is read over many events.

    Prompts over 5,500 tokens were refused by a runner that would have
    held its streams up by 60 ms.
    """
    pause = make_pause(0.38)
    for _ in range(30):
        pause.note(0.05, 0)
        pause.note(0.12, 0.3)
    assert pause.longest_reading_s(LIMIT_S) == math.inf
    assert pause.pace == pytest.approx(0.42, abs=0.05)


def test_where_streams_stand_still_long_prompts_are_kept_away():
    pause = make_pause()
    for _ in range(30):
        pause.note(0.05, 0)
        pause.note(0.4, 0.3)
    assert pause.longest_reading_s(LIMIT_S) < 0.23


@pytest.mark.parametrize('pause_s', [0.001, 0.05])
def test_a_runner_that_shows_no_pause_reads_anything(pause_s):
    pause = make_pause()
    for _ in range(300):
        pause.note(pause_s, 0.2)
    assert pause.longest_reading_s(LIMIT_S) == math.inf
