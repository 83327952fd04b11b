"""JSON of the messages between entry hosts, validated on arrival."""

import dataclasses
import typing

import pydantic

from limpetroute.peers import grant
from limpetroute.peers import hand_over
from limpetroute.peers import record_copy

__all__ = ['Codec']

_T = typing.TypeVar('_T')


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class GrantCall:
    """A call for room at a runner.

    Parameters
    ----------
    runner_id : str
        The runner.
    asked : Grant
        What is wanted, or the room that is given back.
    again : bool
        Whether an earlier holder granted it before.
    release : bool
        Whether the room is given back.
    """

    runner_id: str
    asked: grant.Grant
    again: bool = False
    release: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class GrantReply:
    """The answer to a `GrantCall`; one field is set."""

    given: grant.GrantGiven | None = None
    denied: grant.GrantDenied | None = None
    not_holder: grant.NotHolder | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LookupCall:
    """Asks for the host that holds a request; one name is given.

    Parameters
    ----------
    team : str
        The team.
    key, request_id, run_id : str
        Name of the request; empty if not given.
    claimant : str
        Host that is about to start a request under the key.
    """

    team: str
    key: str = ''
    request_id: str = ''
    run_id: str = ''
    claimant: str = ''


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LookupReply:
    """What a host knows of a request.

    Parameters
    ----------
    held : bool
        Whether the host holds the record.
    copied : bool
        Whether it holds a copy, and the owner may be gone.
    claimed_by : str
        Host that is about to start the key, as far as this one knows.
    """

    held: bool = False
    copied: bool = False
    claimed_by: str = ''


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ClaimsCall:
    """Asks which of a runner's runs a host claims."""

    runs: tuple[str, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ClaimsReply:
    """The runs that the host claims."""

    claimed: tuple[str, ...]


class Codec(typing.Generic[_T]):
    """Encodes and validates one type of message."""

    __slots__ = ('_adapter',)

    def __init__(self, kind: type[_T]) -> None:
        self._adapter = pydantic.TypeAdapter(kind)

    def encode(self, message: _T) -> bytes:
        """Encode a message."""
        return self._adapter.dump_json(message, exclude_defaults=True)

    def decode(self, data: bytes) -> _T:
        """Decode a message.

        Raises
        ------
        ValueError
            If it is not one.
        """
        return self._adapter.validate_json(data)


HAND_OVER = Codec(hand_over.HandOver)
COPY_BATCH = Codec(record_copy.CopyBatch)
COPY_REPLY = Codec(record_copy.CopyReply)
GRANT_CALL = Codec(GrantCall)
GRANT_REPLY = Codec(GrantReply)
LOOKUP_CALL = Codec(LookupCall)
LOOKUP_REPLY = Codec(LookupReply)
CLAIMS_CALL = Codec(ClaimsCall)
CLAIMS_REPLY = Codec(ClaimsReply)


def grant_reply(got: grant.GrantAnswer) -> GrantReply:
    """Wrap an answer for its way to the asker."""
    if isinstance(got, grant.GrantGiven):
        return GrantReply(given=got)
    if isinstance(got, grant.GrantDenied):
        return GrantReply(denied=got)
    return GrantReply(not_holder=got)
