"""A caller of a play, and what it saw of its answer."""

import dataclasses

TARGET_S = 0.9
PAUSE_TARGET_S = 0.3


@dataclasses.dataclass(kw_only=True, slots=True)
class PlayedCaller:
    """A caller's stream, and what it saw of its answer.

    Parameters
    ----------
    name : str
        Names its prompt.
    sent_s : float
        When it was sent for the first time.
    prompt_tokens, said_tokens, tokens : int
        Length of the prompt, and of the answer as said and as it is.
    team : str
        Its team; empty for none.
    """

    name: str
    sent_s: float
    prompt_tokens: int
    said_tokens: int
    tokens: int
    team: str = ''
    attempt: int = 0
    waits_since_s: float = 0.0
    written: int = 0
    first_s: float | None = None
    last_s: float | None = None
    longest_pause_s: float = 0.0
    decode_id: str = ''
    expected_on_time: bool = False
    expected_first_s: float = 0.0
    sent_to_runner_s: float | None = None
    refused: int = 0
    refused_at_s: list[float] = dataclasses.field(default_factory=list)
    whole: bool = False
    over: bool = False

    @property
    def request_id(self) -> str:
        """Names this attempt."""
        return f'{self.name}/{self.attempt}'

    @property
    def size(self) -> float:
        """What its answer is worth beside others."""
        return self.prompt_tokens + 10.0 * self.tokens

    @property
    def on_time(self) -> bool:
        """Whether its answer is whole, and was good all the while."""
        return (
            self.whole
            and self.first_s is not None
            and self.first_s - self.sent_s <= TARGET_S
            and self.longest_pause_s <= PAUSE_TARGET_S
        )
