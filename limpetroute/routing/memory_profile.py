"""The memory that a decode runner's streams take until each one ends."""

import bisect
import typing

from limpetroute.routing import memory_forecast

# A stream that outlasts its estimate has its end moved on bit by bit. The
# profile follows in steps of this length.
OVERDUE_STEP_S = 0.05


class MemoryProfile:
    """The memory that a decode runner's streams take until each one ends.

    Worked out once for each change at a runner, so that asking whether
    another stream fits takes one look at each of its streams.

    Parameters
    ----------
    streams : iterable of MemoryForecast
        The streams of one runner.
    now_s : float
        A steady clock.
    """

    def __init__(
        self,
        streams: typing.Iterable[memory_forecast.MemoryForecast],
        now_s: float,
    ) -> None:
        ends = [(max(now_s, one.ends_s(now_s)), one) for one in streams]
        ends.sort(key=lambda pair: pair[0])
        self._streams = [one for _, one in ends]
        self.ends_s = [end_s for end_s, _ in ends]
        self._totals = self._totals_at_ends(now_s)
        later = bisect.bisect_right(self.ends_s, now_s)
        self.valid_until_s = float('inf')
        if self.ends_s:
            first_s = self.ends_s[min(later, len(self.ends_s) - 1)]
            self.valid_until_s = max(first_s, now_s + OVERDUE_STEP_S)

    def __repr__(self) -> str:
        return f'{type(self).__name__}(ends_s={self.ends_s!r})'

    @property
    def first_peak_tokens(self) -> float:
        """Memory that is taken when the first stream ends."""
        return self._totals[0] if self._totals else 0.0

    def peak_with(
        self, stream: memory_forecast.MemoryForecast, now_s: float
    ) -> float:
        """Return the most memory that is taken with another stream.

        Memory grows until a stream ends, so only the ends are looked at.
        Lengths are estimates: no plan rests on the newcomer ending before
        all others.
        """
        end_s = max(now_s, stream.ends_s(now_s))
        most = max(
            stream.tokens_at(end_s),
            self.first_peak_tokens + stream.prompt_tokens,
        )
        position = bisect.bisect_left(self.ends_s, end_s)
        if position < len(self.ends_s):
            others = sum(
                one.tokens_at(end_s) for one in self._streams[position:]
            )
            most = max(most, stream.tokens_at(end_s) + others)
        for index, at_s in enumerate(self.ends_s):
            total = self._totals[index]
            if at_s <= end_s:
                total += stream.tokens_at(at_s)
            if total > most:
                most = total
        return most

    def _totals_at_ends(self, now_s: float) -> list[float]:
        """Return the memory that is taken at each end.

        Each stream takes its prompt from now on, and grows evenly from
        its beginning on.
        """
        # A stream that has written all it may is there until it is known
        # to have ended.
        done = bisect.bisect_right(self.ends_s, now_s)
        sizes = [one.tokens_at(now_s) for one in self._streams[:done]]
        sizes += [one.prompt_tokens for one in self._streams[done:]]
        taken = float(sum(sizes))
        begins = sorted(
            self._streams[done:], key=lambda one: one.begins_s, reverse=True
        )
        # What growing streams have written at a time is
        # `per_s * time - offset`.
        per_s = 0.0
        offset = 0.0
        totals = []
        for index, one in enumerate(self._streams):
            end_s = self.ends_s[index]
            while begins and begins[-1].begins_s <= end_s:
                begun = begins.pop()
                per_s += begun.tokens_per_s
                offset += begun.tokens_per_s * begun.begins_s
            totals.append(taken + per_s * end_s - offset)
            taken -= sizes[index]
            if index >= done and one.begins_s <= end_s:
                per_s -= one.tokens_per_s
                offset -= one.tokens_per_s * one.begins_s
        return totals
