"""Whether another stream fits a decode runner until its end."""

import dataclasses
import typing


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StreamOutlook:
    """How a stream's KV memory grows.

    Parameters
    ----------
    prompt_tokens : int
        Taken from the beginning.
    output_tokens : int
        Added one by one.
    begins_s : float
        When its first token is expected.
    tokens_per_s : float
        How fast it writes.
    """

    prompt_tokens: int
    output_tokens: int
    begins_s: float
    tokens_per_s: float

    @property
    def ends_s(self) -> float:
        """When its last token is expected."""
        return self.begins_s + self.output_tokens / self.tokens_per_s

    def tokens_at(self, at_s: float) -> float:
        """Return the memory it takes at a time.

        One that should have ended and has not counts with all of it: it
        is slower than expected, not smaller.
        """
        written = (at_s - self.begins_s) * self.tokens_per_s
        written = min(max(0.0, written), float(self.output_tokens))
        return self.prompt_tokens + written


def peak_tokens(
    streams: typing.Sequence[StreamOutlook], now_s: float
) -> float:
    """Return the most memory that streams will take together.

    The sum of their largest sizes would leave a quarter of the memory
    unused, as they are not at their largest at the same time; the sum
    of their present sizes would have the newest one preempted later, in
    the middle of its answer. The sum grows until one of them ends, so
    only the ends have to be looked at.
    """
    most = sum(one.tokens_at(now_s) for one in streams)
    for ending in streams:
        at_s = ending.ends_s
        if at_s <= now_s:
            continue
        total = 0.0
        for one in streams:
            if one.ends_s >= at_s or one.ends_s <= now_s:
                total += one.tokens_at(at_s)
        most = max(most, total)
    return most
