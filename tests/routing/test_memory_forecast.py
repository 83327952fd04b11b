"""A runner's memory is planned to the end of its streams.

Counted at their largest, eight streams of a small runner would fill it
while a third is free; counted as they are now, the newest is preempted
in the middle of its answer and its caller sees a long pause.
"""

from limpetroute.routing import memory_forecast

RATE = 1000.0


def _stream(begins_s, prompt=5000, output=5000, most=10_000):
    return memory_forecast.MemoryForecast(
        prompt_tokens=prompt,
        output_tokens=output,
        most_output_tokens=most,
        begins_s=begins_s,
        tokens_per_s=RATE,
    )


def test_one_stream_peaks_at_its_end():
    assert memory_forecast.peak_tokens([_stream(0.0)], 0.0) == 10_000


def test_streams_that_end_apart_take_less_than_their_sum():
    streams = [_stream(float(at)) for at in range(0, 5)]
    peak = memory_forecast.peak_tokens(streams, 4.0)
    assert 40_000 <= peak < 50_000


def test_streams_that_begin_together_take_their_sum():
    streams = [_stream(0.0) for _ in range(4)]
    assert memory_forecast.peak_tokens(streams, 0.0) == 40_000


def test_one_that_went_beyond_its_estimate_goes_on_growing():
    now_s = 7.0
    stream = _stream(0.0)
    assert stream.tokens_at(now_s) == 12_000
    assert memory_forecast.peak_tokens([stream], now_s) > 12_000
    assert stream.ends_s(now_s) > now_s


def test_nothing_takes_nothing():
    assert memory_forecast.peak_tokens([], 0.0) == 0
