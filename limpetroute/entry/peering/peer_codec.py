"""JSON messages between entry hosts, validated on receipt."""

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
    """Requests or releases a slot and KV memory of a runner.

    Parameters
    ----------
    runner_id : str
        The runner.
    asked : Grant
        The grant that is requested or released.
    again : bool
        Whether an earlier lease holder gave the grant before.
    release : bool
        Whether the grant is released.
    """

    runner_id: str
    asked: grant.Grant
    again: bool = False
    release: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class GrantReply:
    """The reply to a `GrantCall`; one field is set."""

    given: grant.GrantGiven | None = None
    denied: grant.GrantDenied | None = None
    not_holder: grant.NotHolder | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LookupCall:
    """Looks up the host that holds a request, by exactly one identifier.

    Parameters
    ----------
    team : str
        The team.
    key, request_id, run_id : str
        Identifier of the request; empty if not given.
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
    """The state of a request on one host.

    Parameters
    ----------
    held : bool
        Whether the host holds the record.
    copied : bool
        Whether the host holds a copy of the record, whose owner may be
        gone.
    claimed_by : str
        Id of the replying host if it is about to start a request under
        the key, else empty.
    owner : str
        Name of the replying host as an owner of records.
    copied_from : str
        Name of the owner of the copy, if ``copied``.
    """

    held: bool = False
    copied: bool = False
    claimed_by: str = ''
    owner: str = ''
    copied_from: str = ''


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ClaimsCall:
    """Asks a host which of the given runs belong to it."""

    runs: tuple[str, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ClaimsReply:
    """The runs that belong to the replying host."""

    claimed: tuple[str, ...]


class Codec(typing.Generic[_T]):
    """Encodes and validates one type of message."""

    __slots__ = ('_adapter',)

    def __init__(self, kind: type[_T]) -> None:
        self._adapter = pydantic.TypeAdapter(kind)

    def encode(self, message: _T) -> bytes:
        """Encode a message as JSON."""
        return self._adapter.dump_json(message, exclude_defaults=True)

    def decode(self, data: bytes) -> _T:
        """Decode and validate a message.

        Raises
        ------
        ValueError
            If the data is not a valid message.
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
    """Wrap the result of a grant request in a reply message."""
    if isinstance(got, grant.GrantGiven):
        return GrantReply(given=got)
    if isinstance(got, grant.GrantDenied):
        return GrantReply(denied=got)
    return GrantReply(not_holder=got)
