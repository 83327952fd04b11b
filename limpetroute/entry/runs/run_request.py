"""A validated request on its way through the entry process."""

import dataclasses
import typing

from limpetroute.peers import record_copy


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RunRequest:
    """What a caller asked for.

    Parameters
    ----------
    request_id : str
        Name told to the caller.
    team : str
        The caller's team.
    key : str
        Idempotency key; the request id where none was given.
    body_digest : str
        Digest of the body.
    model : str
        Model that is to answer.
    prompt : str
        The whole prompt.
    max_tokens : int
        Most tokens of the answer.
    chat : bool
        Whether the chat shape is wanted.
    include_usage : bool
        Whether a streamed answer ends with its usage.
    returning : bool
        Whether the caller says that it was told to come back.
    options : mapping
        Fields of the body that only the engine understands.
    """

    request_id: str
    team: str
    key: str
    body_digest: str
    model: str
    prompt: str
    max_tokens: int
    chat: bool = False
    include_usage: bool = False
    returning: bool = False
    options: typing.Mapping[str, typing.Any] = dataclasses.field(
        default_factory=dict
    )


def from_copy(facts: record_copy.RecordFacts) -> RunRequest:
    """Return the request that a record's copy carries.

    Raises
    ------
    TypeError
        If the copy lacks a field.
    """
    fields = {item.name for item in dataclasses.fields(RunRequest)}
    known = {
        name: value for name, value in facts.request.items() if name in fields
    }
    return RunRequest(**known)
