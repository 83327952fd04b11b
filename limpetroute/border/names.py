"""Names of hosts, zones and runners."""

import typing

import pydantic

Name = typing.Annotated[
    str, pydantic.Field(min_length=1, max_length=200, pattern=r'^[\w.:/-]+$')
]
