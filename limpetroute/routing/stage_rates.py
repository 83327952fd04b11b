"""Mean sizes of a service's streams and speeds of its runners."""

import dataclasses

from limpetroute.routing import prefill_pause
from limpetroute.routing import service as service_module

# Defaults for the first seconds, until streams have been measured. Engines
# group tokens into events so that about twenty events come per second,
# whatever the speed of a single token is.
DEFAULT_EVENT_S = 0.05
# An answer of 3.5 s, to a prompt that is prefilled in a tenth of a second.
DEFAULT_EVENTS = 70
DEFAULT_PROMPT_TOKENS = 5_000.0
DEFAULT_PREFILL_TOKENS_PER_S = 50_000.0
# A decode runner prefills at half the speed of a prefill runner.
SELF_PREFILL_SPEED_RATIO = 0.5
# Answers differ from their expected length by about a third.
DEFAULT_DEVIATION_RATIO = 0.3


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StageRates:
    """Mean sizes of a service's streams and speeds of its runners.

    Parameters
    ----------
    prompt_tokens : float
        Mean length of a prompt.
    output_tokens : float
        Mean length of an answer.
    read_tokens_per_s : float
        Speed of a prefill runner, including its overhead for each prompt.
    write_tokens_per_s : float
        Decode speed of each stream on a decode runner.
    deviation_tokens : float
        Standard deviation of an answer from its expected length.
    """

    prompt_tokens: float
    output_tokens: float
    read_tokens_per_s: float
    write_tokens_per_s: float
    deviation_tokens: float

    @property
    def prefill_s(self) -> float:
        """Time that a prefill runner takes for a mean prompt."""
        return self.prompt_tokens / self.read_tokens_per_s

    @property
    def self_prefill_s(self) -> float:
        """Time that a decode runner takes for the prefill of a mean prompt."""
        return self.prefill_s / SELF_PREFILL_SPEED_RATIO

    @property
    def pace_beside_prefill(self) -> float:
        """Decode speed during a prefill as a share of the usual one."""
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
    """Return the decode speed that is assumed before any measurement."""
    return engine.tokens_per_event / DEFAULT_EVENT_S


def default_rates(engine: service_module.Engine) -> StageRates:
    """Return the rates that are assumed before any measurement."""
    output_tokens = float(DEFAULT_EVENTS * engine.tokens_per_event)
    return StageRates(
        prompt_tokens=DEFAULT_PROMPT_TOKENS,
        output_tokens=output_tokens,
        read_tokens_per_s=DEFAULT_PREFILL_TOKENS_PER_S,
        write_tokens_per_s=default_decode_tokens_per_s(engine),
        deviation_tokens=output_tokens * DEFAULT_DEVIATION_RATIO,
    )
