"""Whether another stream fits a decode runner until its end."""

import dataclasses
import typing


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MemoryForecast:
    """How a stream's KV memory grows.

    Parameters
    ----------
    prompt_tokens : int
        Taken from the beginning.
    output_tokens : int
        Added one by one, as far as is expected.
    most_output_tokens : int
        Tokens that it may become.
    begins_s : float
        When its first token is expected.
    tokens_per_s : float
        How fast it writes.
    """

    prompt_tokens: int
    output_tokens: int
    most_output_tokens: int
    begins_s: float
    tokens_per_s: float

    def ends_s(self, now_s: float) -> float:
        """Return when its last token is expected.

        One that has gone beyond its estimate is taken to be half way
        through what it may still write.
        """
        written = self._written_at(now_s)
        output: float = self.output_tokens
        if written >= output:
            output = (written + self.most_output_tokens) / 2
        return self.begins_s + output / self.tokens_per_s

    def tokens_at(self, at_s: float) -> float:
        """Return the memory it takes at a time, if it still runs."""
        return self.prompt_tokens + self._written_at(at_s)

    def _written_at(self, at_s: float) -> float:
        written = (at_s - self.begins_s) * self.tokens_per_s
        return min(max(0.0, written), float(self.most_output_tokens))


def peak_tokens(
    streams: typing.Sequence[MemoryForecast], now_s: float
) -> float:
    """Return the most memory that streams will take together.

    The sum of their largest sizes would leave a quarter of the memory
    unused, as they are not at their largest at the same time; the sum
    of their present sizes would have the newest one preempted later, in
    the middle of its answer. The sum grows until one of them ends, so
    only the ends have to be looked at.
    """
    most = sum(one.tokens_at(now_s) for one in streams)
    ends_s = [one.ends_s(now_s) for one in streams]
    for at_s in ends_s:
        total = 0.0
        for one, end_s in zip(streams, ends_s, strict=True):
            if end_s >= at_s:
                total += one.tokens_at(at_s)
        most = max(most, total)
    return most
