"""A request whose decision is asked for."""

import pydantic

MAX_TOKENS = 10_000_000
MAX_DEADLINE_S = 3_600.0


class PreviewQuery(pydantic.BaseModel):
    """A request whose decision is asked for.

    The values come from a URL, so that numbers are given as text. Without
    ``prompt_tokens``, the request is a plain one. An empty ``zone`` is that
    of the host.
    """

    model_config = pydantic.ConfigDict(
        extra='forbid', frozen=True, hide_input_in_errors=True
    )

    host: str
    path: str = pydantic.Field(pattern='^/')
    team: str = ''
    zone: str = ''
    priority: int | None = pydantic.Field(default=None, ge=0, le=9)
    prompt_tokens: int | None = pydantic.Field(
        default=None, ge=1, le=MAX_TOKENS
    )
    output_tokens: int = pydantic.Field(default=1, ge=1, le=MAX_TOKENS)
    deadline_s: float | None = pydantic.Field(
        default=None, gt=0, le=MAX_DEADLINE_S
    )
