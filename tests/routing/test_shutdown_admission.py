"""Streams that arrive at a host that is shutting down."""

import pytest

from limpetroute.routing import shutdown_admission


@pytest.mark.parametrize(
    ('max_tokens', 'remaining_s', 'accepted'),
    [(300, 5.0, True), (300, 2.0, False), (800, 5.0, False), (50, 1.2, True)],
)
def test_a_stream_that_surely_ends_is_accepted(
    max_tokens, remaining_s, accepted
):
    """Two of a zone's three hosts shut down, and callers reach all three.

    If a caller is refused, it has one try left in the middle of a burst. When
    streams were accepted by their estimated length, one in five was cut off
    when its host stopped.
    """
    got = shutdown_admission.ends_before_shutdown(
        max_tokens=max_tokens, tokens_per_s=170.0, remaining_s=remaining_s
    )
    assert got is accepted
