"""How fast a runner reads prompts, from how long they took."""

import collections

# Prompts that are looked back on; of these, the fast quarter counts.
SAMPLES = 16
FAST_PART = 0.25
# With fewer, what is known of other runners says more.
LEAST_SAMPLES = 3


class ReadSpeed:
    """How fast a runner reads prompts, from how long they took.

    Waits of the runner's own only ever make a prompt take longer. So the
    speed is that of the fast quarter: the mean of a busy moment would
    make the runner seem slow, and leave it less and less to read.
    """

    def __init__(self) -> None:
        self._tokens_per_s: collections.deque[float] = collections.deque(
            maxlen=SAMPLES
        )

    def __repr__(self) -> str:
        return f'{type(self).__name__}(tokens_per_s={self.tokens_per_s!r})'

    @property
    def tokens_per_s(self) -> float | None:
        """The speed; None until it is known."""
        if len(self._tokens_per_s) < LEAST_SAMPLES:
            return None
        ordered = sorted(self._tokens_per_s, reverse=True)
        return ordered[int(len(ordered) * FAST_PART)]

    def note(self, tokens_per_s: float) -> None:
        """Take note of a prompt."""
        self._tokens_per_s.append(tokens_per_s)
