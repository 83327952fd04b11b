"""Request bodies of the OpenAI-compatible completion calls."""

import typing

import pydantic

ROUTER_FIELDS = frozenset({'user', 'metadata', 'store'})


class _CallerModel(pydantic.BaseModel):
    # Client libraries send fields that the router does not use. It ignores
    # them in nested objects and passes those of the body to the engine.
    model_config = pydantic.ConfigDict(extra='ignore', frozen=True)


class StreamOptions(_CallerModel):
    """Options of a streamed answer."""

    include_usage: bool = False


class TextPart(_CallerModel):
    """A text part of a message."""

    type: typing.Literal['text']
    text: str


class MessageBody(_CallerModel):
    """One message of a chat."""

    role: str = pydantic.Field(max_length=40)
    content: str | list[TextPart] | None = None

    def text(self) -> str:
        """Return the message's text."""
        if self.content is None:
            return ''
        if isinstance(self.content, str):
            return self.content
        return ''.join(part.text for part in self.content)


class _AnswerBody(_CallerModel):
    model_config = pydantic.ConfigDict(extra='allow', frozen=True)

    model: str = pydantic.Field(min_length=1, max_length=200)
    stream: bool = False
    stream_options: StreamOptions | None = None
    n: typing.Literal[1] | None = 1

    @property
    def include_usage(self) -> bool:
        """Whether a stream ends with an event that reports token usage."""
        options = self.stream_options
        return options is not None and options.include_usage

    @property
    def options(self) -> dict[str, typing.Any]:
        """Fields passed to the engine, such as the sampling temperature."""
        extra = self.model_extra or {}
        return {
            name: value
            for name, value in extra.items()
            if name not in ROUTER_FIELDS
        }


class CompletionBody(_AnswerBody):
    """Body of ``POST /v1/completions``."""

    prompt: (
        str
        | typing.Annotated[
            list[str], pydantic.Field(min_length=1, max_length=1)
        ]
    )
    max_tokens: int | None = pydantic.Field(default=16, ge=1, le=65536)

    @pydantic.field_validator('prompt')
    @classmethod
    def _prompt_has_text(cls, value: str | list[str]) -> str | list[str]:
        if not ''.join(value):
            raise ValueError('must not be empty')
        return value

    def text(self) -> str:
        """Return the prompt."""
        return ''.join(self.prompt)

    def token_limit(self) -> int:
        """Return the maximum number of tokens of the answer."""
        return self.max_tokens or 16


class ChatBody(_AnswerBody):
    """Body of ``POST /v1/chat/completions``."""

    messages: list[MessageBody] = pydantic.Field(min_length=1)
    max_tokens: int | None = pydantic.Field(default=None, ge=1, le=65536)
    max_completion_tokens: int | None = pydantic.Field(
        default=None, ge=1, le=65536
    )

    def text(self) -> str:
        """Return the messages as one prompt."""
        parts = [f'{item.role}: {item.text()}\n' for item in self.messages]
        return ''.join(parts) + 'assistant:'

    def token_limit(self) -> int:
        """Return the maximum number of tokens of the answer."""
        return self.max_completion_tokens or self.max_tokens or 256
