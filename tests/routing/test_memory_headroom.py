"""How much memory is kept for answers that grow longer than expected."""

import pytest

from limpetroute.routing import memory_headroom


def reserved_share(memory_tokens, streams, deviation_tokens):
    usable = memory_headroom.usable_tokens(
        memory_tokens, streams, deviation_tokens
    )
    return 1 - usable / memory_tokens


def test_long_answers_keep_a_tenth_free():
    """Twelve answers of 5,000 tokens, each off by 1,500."""
    assert 0.07 < reserved_share(135_015, 12, 1500) < 0.11
    assert 0.09 < reserved_share(78_413, 9, 1500) < 0.13


def test_short_answers_to_long_prompts_keep_a_fiftieth_free():
    """Nine prompts of 5,000 tokens with answers of 550, off by 200.

    With a tenth kept free, every thirteenth stream found no place.
    """
    assert reserved_share(52_113, 9, 200) < 0.04


def test_some_is_always_free_and_most_is_never_kept():
    least, most = (
        memory_headroom.MIN_RESERVED_SHARE,
        memory_headroom.MAX_RESERVED_SHARE,
    )
    assert reserved_share(50_000, 1, 0) == pytest.approx(least)
    assert reserved_share(50_000, 64, 50_000) == pytest.approx(most)
