"""When runners are free to read the next prompt."""

from limpetroute.routing import held_places
from limpetroute.routing import runner_info
from limpetroute.routing import stream_ask
from limpetroute.routing import stream_times

# Two prompts read by a decode runner within one event of its streams make
# that event's pause too long: 5,000 tokens hold it up for 180 ms, an
# event takes 50 ms without, and pauses over 300 ms are late.
SELF_READ_PAUSE_S = 0.1
# Longer prompts, read by a decode runner, hold each of its streams up
# beyond 300 ms (measured: 6,500 tokens 325 ms, 11,000 tokens 466 ms).
# With more than a few streams there, more is lost than gained.
LONGEST_SELF_READ_TOKENS = 5500
FEW_STREAMS = 3


class ReadingTurns:
    """When runners are free to read the next prompt.

    Parameters
    ----------
    held : HeldPlaces
        The places that are given.
    """

    def __init__(self, *, held: held_places.HeldPlaces) -> None:
        self._held = held
        self._free_s: dict[str, float] = {}

    def __repr__(self) -> str:
        return f'{type(self).__name__}(free_s={self._free_s!r})'

    def reader(
        self,
        ask: stream_ask.StreamAsk,
        readers: list[runner_info.RunnerInfo],
    ) -> runner_info.RunnerInfo | None:
        """Return the prefill runner that is free first, if one may read."""
        if not ask.reads_prompt:
            return None
        return min(
            readers,
            key=lambda runner: self._free_s.get(runner.runner_id, 0.0),
            default=None,
        )

    def ready_s(
        self,
        ask: stream_ask.StreamAsk,
        reader: runner_info.RunnerInfo | None,
        now_s: float,
    ) -> float:
        """Return when the first event is there, if it is read now."""
        free_s = now_s
        if reader is not None:
            free_s = max(now_s, self._free_s.get(reader.runner_id, now_s))
        return free_s + stream_times.to_first_event_s(
            ask, has_reader=reader is not None
        )

    def take(
        self,
        reader: runner_info.RunnerInfo | None,
        decoder: runner_info.RunnerInfo,
        ready_s: float,
    ) -> None:
        """Take note of who reads until its first event is there."""
        until_s = ready_s - stream_times.OVERHEAD_S
        if reader is None:
            until_s += SELF_READ_PAUSE_S
        self._free_s[(reader or decoder).runner_id] = until_s

    def may_read(
        self,
        ask: stream_ask.StreamAsk,
        decoder: runner_info.RunnerInfo,
        now_s: float,
    ) -> bool:
        """Return whether a decode runner may read this prompt now.

        Its own streams stand still while it reads: it takes one prompt
        at a time, and a long one only while it has few streams.
        """
        beside = len(self._held.outlooks(decoder.runner_id))
        if not beside:
            return True
        if self.is_too_long(ask, beside):
            return False
        return self.self_read_s(decoder, now_s) <= now_s

    def is_too_long(self, ask: stream_ask.StreamAsk, beside: int) -> bool:
        """Return whether reading it would hold too many streams up."""
        is_long = ask.tokens_to_read > LONGEST_SELF_READ_TOKENS
        return is_long and beside > FEW_STREAMS

    def self_read_s(
        self, decoder: runner_info.RunnerInfo, now_s: float
    ) -> float:
        """Return when a decode runner has read what it was given."""
        return max(now_s, self._free_s.get(decoder.runner_id, now_s))
