"""The memory profile of a runner against the sum over its streams."""

import hypothesis
from hypothesis import strategies as st
import pytest

from limpetroute.routing import memory_forecast
from limpetroute.routing import memory_profile

NOW_S = 100.0

forecasts = st.builds(
    memory_forecast.MemoryForecast,
    prompt_tokens=st.integers(0, 12_000),
    output_tokens=st.integers(0, 5000),
    most_output_tokens=st.integers(5000, 9000),
    begins_s=st.floats(NOW_S - 20.0, NOW_S + 3.0),
    tokens_per_s=st.floats(50.0, 2000.0),
)


@hypothesis.given(
    streams=st.lists(forecasts, max_size=16),
    another=forecasts,
)
def test_a_profile_tells_the_peak_with_another_stream(streams, another):
    profile = memory_profile.MemoryProfile(streams, NOW_S)
    expected = max(
        memory_forecast.peak_tokens([*streams, another], NOW_S),
        profile.first_peak_tokens + another.prompt_tokens,
    )
    assert profile.peak_with(another, NOW_S) == pytest.approx(expected)


@hypothesis.given(streams=st.lists(forecasts, min_size=1, max_size=16))
def test_what_is_taken_first_is_what_all_streams_take_then(streams):
    profile = memory_profile.MemoryProfile(streams, NOW_S)
    first_s = profile.ends_s[0]
    taken = sum(one.tokens_at(first_s) for one in streams)
    assert profile.first_peak_tokens == pytest.approx(taken)


def test_a_profile_is_fresh_until_its_first_stream_should_have_ended():
    stream = memory_forecast.MemoryForecast(
        prompt_tokens=100,
        output_tokens=1000,
        most_output_tokens=2000,
        begins_s=NOW_S,
        tokens_per_s=500.0,
    )
    profile = memory_profile.MemoryProfile([stream], NOW_S)
    assert profile.valid_until_s == NOW_S + 2.0
    overdue = memory_profile.MemoryProfile([stream], NOW_S + 10.0)
    assert overdue.valid_until_s == (
        NOW_S + 10.0 + memory_profile.OVERDUE_STEP_S
    )
    assert overdue.first_peak_tokens == 2100
