"""Requests and responses of an engine."""

import dataclasses
import typing


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PrefillCall:
    """Request to prefill a prompt."""

    run_id: str
    model: str
    prompt: str
    priority: int
    fence: int
    latest_start_s: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PrefillResult:
    """Result of a prefill; its KV cache expires in ``expires_in_s``."""

    handle: str
    prompt_tokens: int
    cached_tokens: int
    kv_bytes: int
    expires_in_s: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ImportCall:
    """Request to a decode runner to fetch a KV cache."""

    run_id: str
    source_url: str
    handle: str
    fence: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DecodeCall:
    """Request to generate an answer from an imported KV cache."""

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
    """A piece of an answer."""

    index: int
    text: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EndEvent:
    """The engine has finished the answer."""

    finish_reason: str
    completion_tokens: int


DecodeEvent = TokenEvent | EndEvent
