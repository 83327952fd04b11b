"""How long streams pause while their runner reads a prompt."""

import pytest

from limpetroute.routing import reading_pause


def test_before_anything_is_measured_the_guess_suits_long_events():
    pause = reading_pause.ReadingPause()
    assert 5000 < pause.longest_prompt(0.3) < 6000


def test_where_events_are_short_any_prompt_may_be_read():
    """An event has eight tokens: a prompt is read over many events.

    Prompts over 5,500 tokens were refused by a runner that would have
    held its streams up by 60 ms.
    """
    pause = reading_pause.ReadingPause()
    for _ in range(30):
        pause.note(0.05, 0)
        pause.note(0.12, 5000)
    assert pause.longest_prompt(0.3) > 11_000


def test_where_streams_stand_still_long_prompts_are_kept_away():
    pause = reading_pause.ReadingPause()
    for _ in range(30):
        pause.note(0.05, 0)
        pause.note(0.4, 5000)
    assert pause.longest_prompt(0.3) < 4500


@pytest.mark.parametrize('pause_s', [0.0, 0.05])
def test_a_runner_that_shows_no_pause_reads_anything(pause_s):
    pause = reading_pause.ReadingPause()
    for _ in range(300):
        pause.note(pause_s, 5000)
    assert pause.longest_prompt(0.3) > 50_000
