"""Messages that copy request records to another host."""

import dataclasses
import typing

from limpetroute.peers import run_end


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RecordFacts:
    """The part of a record that never changes.

    Parameters
    ----------
    request_id, team, key, body_digest, run_id : str
        As in `RequestRecord`.
    request : mapping
        The request, with all that another host needs to continue it.
    """

    request_id: str
    team: str
    key: str
    body_digest: str
    run_id: str
    request: typing.Mapping[str, typing.Any]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RecordProgress:
    """The part of a record that changes.

    Parameters
    ----------
    request_id : str
        Id of the request.
    from_index : int
        Index of the first event in ``events``.
    events : tuple of str
        Events from ``from_index`` on.
    end : RunEnd or None
        End of the run, or None while it goes on.
    attachment_number : int
        Number of the newest attachment.
    delivered_index : int
        Index of the last event known to be delivered to the caller.
    end_delivered, closing : bool
        Whether the end was delivered, or may have been delivered.
    runner : mapping
        The attempt in progress: its runner and run id.
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
    """Update of one record; has ``facts`` only in the first update."""

    progress: RecordProgress
    facts: RecordFacts | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CopyBatch:
    """Updates of many records of one owner.

    Parameters
    ----------
    owner : str
        Name of the owner and its incarnation.
    items : tuple of CopyItem
        Updates.
    dropped : tuple of str
        Ids of requests whose copies are no longer needed.
    """

    owner: str
    items: tuple[CopyItem, ...] = ()
    dropped: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CopyReply:
    """Reply of the host that holds the copies.

    Parameters
    ----------
    taken : bool
        Whether the batch was accepted. False after the owner's records
        were taken over; the owner must then stop delivering.
    missing : tuple of str
        Ids of requests whose records must be sent whole.
    """

    taken: bool
    missing: tuple[str, ...] = ()
