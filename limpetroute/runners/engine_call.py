"""Messages to and from an engine."""

import dataclasses
import typing


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PrefillCall:
    """Order to read a prompt."""

    run_id: str
    model: str
    prompt: str
    priority: int
    fence: int
    latest_start_s: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PrefillResult:
    """A prompt that was read; its KV cache expires soon."""

    handle: str
    prompt_tokens: int
    cached_tokens: int
    kv_bytes: int
    expires_in_s: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ImportCall:
    """Order to a decode runner to fetch a KV cache."""

    run_id: str
    source_url: str
    handle: str
    fence: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DecodeCall:
    """Order to write an answer from an imported KV cache."""

    run_id: str
    model: str
    max_tokens: int
    priority: int
    fence: int
    options: typing.Mapping[str, typing.Any] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TokenEvent:
    """One piece of an answer."""

    index: int
    text: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EndEvent:
    """End of an answer at the engine."""

    finish_reason: str
    completion_tokens: int


DecodeEvent = TokenEvent | EndEvent
