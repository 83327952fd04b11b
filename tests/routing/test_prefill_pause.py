"""Gaps between events while a runner prefills a prompt."""

import math

import pytest

from limpetroute.routing import prefill_pause

LIMIT_S = 0.3


def is_too_long(prefill_s, **streams):
    pause_s = prefill_pause.pause_s(prefill_s, **streams)
    return prefill_pause.is_too_long(pause_s, LIMIT_S)


def test_with_long_events_prefills_up_to_a_fifth_of_a_second_are_allowed():
    """In a measurement, 6,500 tokens delayed streams by 325 ms.

    At 25,000 tokens a second, 5,500 tokens are prefilled within the limit.
    """
    pace = prefill_pause.pace(1400.0)
    assert pace < 0.1
    assert not is_too_long(5500 / 25_000, event_s=0.05, pace_beside=pace)
    assert is_too_long(6500 / 25_000, event_s=0.05, pace_beside=pace)


def test_with_short_events_any_prefill_is_allowed():
    """An event has eight tokens, so a prefill spans many events.

    Prompts over 5,500 tokens were refused by a runner whose streams they would
    have delayed by 70 ms.
    """
    pace = prefill_pause.pace(170.0)
    assert pace == pytest.approx(0.37, abs=0.01)
    assert not is_too_long(math.inf, event_s=8 / 170, pace_beside=pace)


def test_with_events_at_the_gap_limit_no_prefill_is_allowed():
    assert is_too_long(0.001, event_s=0.3, pace_beside=0.5)
