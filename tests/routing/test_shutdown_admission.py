"""Streams that reach a host that stops."""

import pytest

from limpetroute.routing import shutdown_admission


@pytest.mark.parametrize(
    ('max_tokens', 'remaining_s', 'taken'),
    [(300, 5.0, True), (300, 2.0, False), (800, 5.0, False), (50, 1.2, True)],
)
def test_a_stream_that_surely_ends_is_taken(max_tokens, remaining_s, taken):
    """Two of a zone's three hosts stop, and callers reach all three.

    Refused, each caller has one try left in the middle of a burst. Taken
    by an estimate, one in five was cut when its host ended.
    """
    got = shutdown_admission.ends_before_shutdown(
        max_tokens=max_tokens, tokens_per_s=170.0, remaining_s=remaining_s
    )
    assert got is taken
