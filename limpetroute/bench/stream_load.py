"""How many streams come, and when."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StreamLoad:
    """Streams that come.

    Parameters
    ----------
    streams_per_s : tuple of (float, float)
        From when on how many come a second.
    until_s : float
        When the last one comes.
    prompt_tokens : float
        Mean length of their prompts.
    max_prompt_tokens : int
        Most tokens of a prompt.
    teams : tuple of (str, float)
        Teams and their shares of the streams; empty for none.
    """

    streams_per_s: tuple[tuple[float, float], ...]
    until_s: float
    prompt_tokens: float = 5000.0
    max_prompt_tokens: int = 11_000
    teams: tuple[tuple[str, float], ...] = ()

    def rate(self, now_s: float) -> float:
        """Return how many come a second at a moment."""
        found = 0.0
        for since_s, rate in self.streams_per_s:
            if now_s >= since_s:
                found = rate
        return found
