"""A request record on its way to the host that holds its copy."""

import dataclasses
import typing

from limpetroute.peers import run_end


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RecordFacts:
    """What of a record never changes.

    Parameters
    ----------
    request_id, team, key, body_digest, run_id : str
        As in `RequestRecord`.
    request : mapping
        The request itself, enough to go on with it elsewhere.
    """

    request_id: str
    team: str
    key: str
    body_digest: str
    run_id: str
    request: typing.Mapping[str, typing.Any]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RecordProgress:
    """What of a record changes.

    Parameters
    ----------
    request_id : str
        The request.
    from_index : int
        Index of the first event carried.
    events : tuple of str
        Events from there on.
    end : RunEnd or None
        The end, once there is one.
    attachment_number : int
        Number of the newest attachment.
    delivered_index : int
        Last event known to be handed to the caller.
    end_delivered, closing : bool
        Whether the end was, or may have been, told.
    runner : mapping
        The try in progress: where it runs and under which name.
    """

    request_id: str
    from_index: int
    events: tuple[str, ...] = ()
    end: run_end.RunEnd | None = None
    attachment_number: int = 0
    delivered_index: int = -1
    end_delivered: bool = False
    closing: bool = False
    runner: typing.Mapping[str, typing.Any] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CopyItem:
    """News of one record; ``facts`` only the first time."""

    progress: RecordProgress
    facts: RecordFacts | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CopyBatch:
    """News of many records of one owner.

    Parameters
    ----------
    owner : str
        The owner and its incarnation.
    items : tuple of CopyItem
        News.
    dropped : tuple of str
        Requests whose copies are needed no more.
    """

    owner: str
    items: tuple[CopyItem, ...] = ()
    dropped: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CopyReply:
    """The copy holder's word.

    Parameters
    ----------
    taken : bool
        False once the owner's records were taken over: it must not
        deliver any more.
    missing : tuple of str
        Requests that must be sent whole.
    """

    taken: bool
    missing: tuple[str, ...] = ()
