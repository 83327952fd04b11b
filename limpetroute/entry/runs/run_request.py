"""A caller's request after validation."""

import dataclasses
import typing

from limpetroute.peers import record_copy


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RunRequest:
    """A caller's validated request for an answer.

    Parameters
    ----------
    request_id : str
        Id returned to the caller.
    team : str
        The caller's team.
    key : str
        Idempotency key; the request id if the caller gave no key.
    body_digest : str
        Digest of the request body.
    model : str
        Name of the model.
    prompt : str
        The whole prompt.
    max_tokens : int
        Maximum number of tokens of the answer.
    chat : bool
        Whether the answer has the chat format.
    include_usage : bool
        Whether a streamed answer ends with its token usage.
    returning : bool
        Whether the client library marked the request as a retry.
    options : mapping
        Fields of the body that are passed to the engine as they are.
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
    """Return the request stored in a record's copy.

    Raises
    ------
    TypeError
        If the copy lacks a required field.
    """
    fields = {item.name for item in dataclasses.fields(RunRequest)}
    known = {
        name: value for name, value in facts.request.items() if name in fields
    }
    return RunRequest(**known)
