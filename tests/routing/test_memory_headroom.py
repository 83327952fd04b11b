"""How much memory is kept for answers that grow longer than expected."""

import pytest

from limpetroute.routing import memory_headroom


def part(memory_tokens, streams, deviation_tokens):
    room = memory_headroom.room_tokens(
        memory_tokens, streams, deviation_tokens
    )
    return 1 - room / memory_tokens


def test_long_answers_keep_a_tenth_free():
    """Twelve answers of 5,000 tokens, each off by 1,500."""
    assert 0.07 < part(135_015, 12, 1500) < 0.11
    assert 0.09 < part(78_413, 9, 1500) < 0.13


def test_short_answers_to_long_prompts_keep_a_fiftieth_free():
    """Nine prompts of 5,000 tokens with answers of 550, off by 200.

    With a tenth kept free, every thirteenth stream found no place.
    """
    assert part(52_113, 9, 200) < 0.04


def test_some_is_always_free_and_most_is_never_kept():
    least, most = memory_headroom.LEAST_PART, memory_headroom.MOST_PART
    assert part(50_000, 1, 0) == pytest.approx(least)
    assert part(50_000, 64, 50_000) == pytest.approx(most)
