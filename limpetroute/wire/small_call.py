"""A call to a runner that does not forward a caller's request."""

import dataclasses
import typing


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SmallCall:
    """A call to a runner that does not forward a caller's request."""

    method: str
    path: str
    body: bytes = b''
    headers: typing.Mapping[str, str] = dataclasses.field(default_factory=dict)
