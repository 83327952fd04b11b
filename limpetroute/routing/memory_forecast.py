"""Forecasts the KV memory that streams take until they end."""

import dataclasses
import typing


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MemoryForecast:
    """Forecast of one stream's KV memory.

    Parameters
    ----------
    prompt_tokens : int
        Tokens of the prompt, which take memory from the start.
    output_tokens : int
        Expected number of output tokens, which are added one by one.
    most_output_tokens : int
        Upper limit of the output tokens.
    begins_s : float
        When the first token is expected.
    tokens_per_s : float
        Decode speed in tokens per second.
    """

    prompt_tokens: int
    output_tokens: int
    most_output_tokens: int
    begins_s: float
    tokens_per_s: float

    def ends_s(self, now_s: float) -> float:
        """Return when the last token is expected.

        A stream that has exceeded its expected length is assumed to be half
        way through the tokens that it may still write.
        """
        written = self._written_at(now_s)
        output: float = self.output_tokens
        if written >= output:
            output = (written + self.most_output_tokens) / 2
        return self.begins_s + output / self.tokens_per_s

    def tokens_at(self, at_s: float) -> float:
        """Return the memory in tokens at a time, if the stream still runs."""
        return self.prompt_tokens + self._written_at(at_s)

    def _written_at(self, at_s: float) -> float:
        written = (at_s - self.begins_s) * self.tokens_per_s
        return min(max(0.0, written), float(self.most_output_tokens))


def peak_tokens(
    streams: typing.Sequence[MemoryForecast], now_s: float
) -> float:
    """Return the peak of the memory that streams take together.

    The sum of their largest sizes would leave a quarter of the memory unused,
    because streams do not reach their largest size at the same time. With the
    sum of their present sizes, the newest stream would be preempted later, in
    the middle of its answer. The total grows until a stream ends, so only the
    end times have to be evaluated.
    """
    peak = sum(one.tokens_at(now_s) for one in streams)
    ends_s = [one.ends_s(now_s) for one in streams]
    for at_s in ends_s:
        total = 0.0
        for one, end_s in zip(streams, ends_s, strict=True):
            if end_s >= at_s:
                total += one.tokens_at(at_s)
        peak = max(peak, total)
    return peak
