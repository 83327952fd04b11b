"""Bodies of the OpenAI-shaped completion calls."""

import typing

import pydantic


class _CallerModel(pydantic.BaseModel):
    # Callers' libraries send fields that mean nothing to the router.
    model_config = pydantic.ConfigDict(extra='ignore', frozen=True)


class StreamOptions(_CallerModel):
    """Options of a streamed answer."""

    include_usage: bool = False


class MessageBody(_CallerModel):
    """One message of a chat."""

    role: str = pydantic.Field(max_length=40)
    content: str


class CompletionBody(_CallerModel):
    """Body of ``POST /v1/completions``."""

    model: str = pydantic.Field(min_length=1, max_length=200)
    prompt: str = pydantic.Field(min_length=1)
    max_tokens: int = pydantic.Field(default=16, ge=1, le=65536)
    stream: bool = False
    stream_options: StreamOptions | None = None
    n: typing.Literal[1] = 1

    def text(self) -> str:
        """Return the prompt."""
        return self.prompt

    def token_limit(self) -> int:
        """Return the most tokens of the answer."""
        return self.max_tokens


class ChatBody(_CallerModel):
    """Body of ``POST /v1/chat/completions``."""

    model: str = pydantic.Field(min_length=1, max_length=200)
    messages: list[MessageBody] = pydantic.Field(min_length=1)
    max_tokens: int | None = pydantic.Field(default=None, ge=1, le=65536)
    max_completion_tokens: int | None = pydantic.Field(
        default=None, ge=1, le=65536
    )
    stream: bool = False
    stream_options: StreamOptions | None = None
    n: typing.Literal[1] = 1

    def text(self) -> str:
        """Return the messages as one prompt."""
        parts = [f'{item.role}: {item.content}\n' for item in self.messages]
        return ''.join(parts) + 'assistant:'

    def token_limit(self) -> int:
        """Return the most tokens of the answer."""
        return self.max_completion_tokens or self.max_tokens or 256
