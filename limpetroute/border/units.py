"""Number types with bounds, for settings."""

import typing

import pydantic

Port = typing.Annotated[int, pydantic.Field(ge=0, le=65535)]
Seconds = typing.Annotated[float, pydantic.Field(gt=0, le=86400)]
