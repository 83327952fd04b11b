"""How long a decode runner's streams pause while it reads a prompt."""

# Taken for true until it has been measured. Between two steps of its
# streams a decode runner reads a quarter of the usual piece, and an event
# needs as many steps as it has tokens: where one has seventy, a whole
# prompt is read within one event (6,500 tokens: 325 ms, 11,000 tokens:
# 466 ms); where it has eight, a part (5,000 tokens: about 60 ms more).
FIRST_BASE_S = 0.06
FIRST_S_PER_TOKEN = 44e-6
# Pauses have other causes, and one that is measured says little. At first
# the guess counts for as much as this many.
FIRST_WEIGHT = 4.0
# Half of the weight is from the last thirty pauses.
FORGET = 0.98


class ReadingPause:
    """How long a decode runner's streams pause while it reads a prompt.

    Learned from the longest pause of each stream, and from the longest
    prompt that its runner read beside it.
    """

    def __init__(self) -> None:
        self._base_weight = FIRST_WEIGHT
        self._base_sum_s = FIRST_WEIGHT * FIRST_BASE_S
        # Sums over prompts of 5,000 tokens, as good as any unit.
        self._tokens = FIRST_WEIGHT * 5_000.0
        self._pauses_s = self._tokens * FIRST_S_PER_TOKEN

    def __repr__(self) -> str:
        return f'{type(self).__name__}(per_token_s={self._per_token_s!r})'

    def note(self, pause_s: float, read_tokens: int) -> None:
        """Take note of a stream's longest pause.

        ``read_tokens`` is the longest prompt that its runner read
        beside it; 0 for none.
        """
        if not read_tokens:
            self._base_weight = self._base_weight * FORGET + 1
            self._base_sum_s = self._base_sum_s * FORGET + pause_s
            return
        self._tokens = self._tokens * FORGET + read_tokens
        self._pauses_s = self._pauses_s * FORGET + max(
            0.0, pause_s - self._base_s
        )

    def longest_prompt(self, limit_s: float) -> float:
        """Return the tokens that are read within a pause."""
        return max(0.0, limit_s - self._base_s) / self._per_token_s

    def pace(self, prompt_tokens: float, read_s: float) -> float:
        """Return how fast streams go on beside a reading.

        As a part of their usual speed: 0 where they stand still until
        the prompt is read.
        """
        pause_s = self._base_s + prompt_tokens * self._per_token_s
        if read_s > pause_s:
            # Several events come while it is read, each takes this long.
            return self._base_s / pause_s
        return max(0.0, 1 - (pause_s - self._base_s) / read_s)

    @property
    def _base_s(self) -> float:
        return self._base_sum_s / self._base_weight

    @property
    def _per_token_s(self) -> float:
        # A runner that shows no pause at all must not make it 0.
        return max(1e-6, self._pauses_s / self._tokens)
