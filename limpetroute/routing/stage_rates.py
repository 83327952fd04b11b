"""What a service's streams ask of its runners, and how fast these are."""

import dataclasses

from limpetroute.routing import prefill_pause
from limpetroute.routing import service as service_module

# What is taken for true until streams have been seen, for some seconds.
# Engines group tokens into events so that about twenty come a second,
# whatever the speed of a single token is.
DEFAULT_EVENT_S = 0.05
# An answer of 3.5 s, to a prompt that is read in a tenth of a second.
DEFAULT_EVENTS = 70
DEFAULT_PROMPT_TOKENS = 5_000.0
DEFAULT_PREFILL_TOKENS_PER_S = 50_000.0
# A decode runner reads at half the speed of a prefill runner.
SELF_PREFILL_SPEED_RATIO = 0.5
# Answers differ from what is expected by about a third.
DEFAULT_DEVIATION_RATIO = 0.3


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StageRates:
    """What a service's streams ask of its runners, and how fast these are.

    Parameters
    ----------
    prompt_tokens : float
        Mean length of a prompt.
    output_tokens : float
        Mean length of an answer.
    read_tokens_per_s : float
        How fast a prefill runner reads, with what it takes for each
        prompt beside the tokens.
    write_tokens_per_s : float
        How fast a decode runner writes each of its streams.
    deviation_tokens : float
        How far answers are from what was expected of them.
    """

    prompt_tokens: float
    output_tokens: float
    read_tokens_per_s: float
    write_tokens_per_s: float
    deviation_tokens: float

    @property
    def prefill_s(self) -> float:
        """Time that a prefill runner takes for a prompt."""
        return self.prompt_tokens / self.read_tokens_per_s

    @property
    def self_prefill_s(self) -> float:
        """Time that a decode runner takes for a prompt."""
        return self.prefill_s / SELF_PREFILL_SPEED_RATIO

    @property
    def pace_beside_prefill(self) -> float:
        """Part of their speed at which its streams go on meanwhile."""
        return prefill_pause.pace(self.write_tokens_per_s)

    @property
    def decode_s(self) -> float:
        """Time that an answer takes from its first token to its last."""
        return self.output_tokens / self.write_tokens_per_s

    @property
    def memory_tokens(self) -> float:
        """Memory of a stream half way through its answer."""
        return self.prompt_tokens + self.output_tokens / 2


def default_decode_tokens_per_s(engine: service_module.Engine) -> float:
    """Return the speed of a stream that is expected before any was seen."""
    return engine.tokens_per_event / DEFAULT_EVENT_S


def default_rates(engine: service_module.Engine) -> StageRates:
    """Return what is expected before any stream was seen."""
    output_tokens = float(DEFAULT_EVENTS * engine.tokens_per_event)
    return StageRates(
        prompt_tokens=DEFAULT_PROMPT_TOKENS,
        output_tokens=output_tokens,
        read_tokens_per_s=DEFAULT_PREFILL_TOKENS_PER_S,
        write_tokens_per_s=default_decode_tokens_per_s(engine),
        deviation_tokens=output_tokens * DEFAULT_DEVIATION_RATIO,
    )
