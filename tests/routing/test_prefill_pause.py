"""How long streams pause while their runner reads a prompt."""

import math

import pytest

from limpetroute.routing import prefill_pause

LIMIT_S = 0.3


def is_too_long(prefill_s, **streams):
    pause_s = prefill_pause.pause_s(prefill_s, **streams)
    return prefill_pause.is_too_long(pause_s, LIMIT_S)


def test_where_events_are_long_prompts_up_to_a_fifth_of_a_second_are_read():
    """Measured: 6,500 tokens hold streams up for 325 ms.

    At 25,000 tokens a second, 5,500 tokens are read within the limit.
    """
    pace = prefill_pause.pace(1400.0)
    assert pace < 0.1
    assert not is_too_long(5500 / 25_000, event_s=0.05, pace_beside=pace)
    assert is_too_long(6500 / 25_000, event_s=0.05, pace_beside=pace)


def test_where_events_are_short_any_prompt_may_be_read():
    """An event has eight tokens: a prompt is read over many events.

    Prompts over 5,500 tokens were refused by a runner that would have
    held its streams up by 70 ms.
    """
    pace = prefill_pause.pace(170.0)
    assert pace == pytest.approx(0.37, abs=0.01)
    assert not is_too_long(math.inf, event_s=8 / 170, pace_beside=pace)


def test_where_events_take_as_long_as_they_may_nothing_is_read_beside():
    assert is_too_long(0.001, event_s=0.3, pace_beside=0.5)
