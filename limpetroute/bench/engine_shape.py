"""How fast an engine is."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EngineShape:
    """How fast an engine is.

    Parameters
    ----------
    slots : int
        Requests that it works on at once.
    queue : int
        Requests that may wait for a slot.
    step_s : float
        Time of a step, in which each stream gets one token.
    step_per_stream_s : float
        What each stream adds to a step.
    read_tokens_per_s : float
        How fast it reads prompts as a prefill runner.
    chunk_tokens : int
        Tokens that a prefill runner reads at once.
    tokens_per_event : int
        Tokens of one event.
    begin_s : float
        Time from the last token read to the first event.
    slow_factor : float
        By how much it is slower than that.
    """

    slots: int = 12
    queue: int = 2
    step_s: float = 0.000592
    step_per_stream_s: float = 0.0000077
    read_tokens_per_s: float = 55_555.0
    chunk_tokens: int = 1024
    tokens_per_event: int = 74
    begin_s: float = 0.0043
    slow_factor: float = 1.0

    @property
    def self_read_tokens_per_s(self) -> float:
        """How fast it reads between the tokens of its streams.

        As a decode runner it reads at half the speed, in quarters of the
        usual chunk.
        """
        return self.read_tokens_per_s / 2 / self.slow_factor

    @property
    def self_read_chunk_tokens(self) -> int:
        """Tokens that it reads between two steps."""
        return self.chunk_tokens // 4

    def step_of_s(self, streams: int) -> float:
        """Return the time of a step with so many streams."""
        step_s = self.step_s + streams * self.step_per_stream_s
        return step_s * self.slow_factor
