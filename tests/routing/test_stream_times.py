"""How long a place is worth waiting for."""

import pytest

from limpetroute.routing import stream_times
from tests.routing import builders


@pytest.mark.parametrize('silence_s', [2.0, 3.6, 8.0])
def test_a_place_is_given_while_its_caller_can_still_get_an_event(silence_s):
    """A service whose callers wait for eight seconds, or for two.

    By a time that suits 3.6 s, streams were refused half way, or read
    for callers that had left.
    """
    fresh = builders.make_request('a', silence_s=silence_s)
    begun = builders.make_request('b', silence_s=silence_s, goes_on=True)
    fresh_s = stream_times.max_wait_s(fresh)
    begun_s = stream_times.max_wait_s(begun)
    assert 0 < fresh_s < begun_s < silence_s
    assert silence_s - begun_s < 0.5
    assert silence_s - fresh_s < 1.5


def test_what_suits_the_usual_stream():
    assert stream_times.max_wait_s(builders.make_request('a')) == (
        pytest.approx(2.4)
    )
