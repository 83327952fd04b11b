"""Messages between the replicas of a group."""

import dataclasses
import typing

from limpetroute.agreement import entry
from limpetroute.agreement import snapshot as snapshot_module


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PreVoteRequest:
    """Asks whether the receiver would vote for the sender in ``term``."""

    term: int
    last_index: int
    last_term: int
    kind: typing.Literal['pre_vote'] = 'pre_vote'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PreVoteReply:
    """Reply to a `PreVoteRequest`; it does not bind the sender."""

    term: int
    granted: bool
    kind: typing.Literal['pre_vote_reply'] = 'pre_vote_reply'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class VoteRequest:
    """Asks for the receiver's vote in ``term``."""

    term: int
    last_index: int
    last_term: int
    kind: typing.Literal['vote'] = 'vote'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class VoteReply:
    """Reply to a `VoteRequest`, sent once the vote is on disk."""

    term: int
    granted: bool
    kind: typing.Literal['vote_reply'] = 'vote_reply'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AppendRequest:
    """Entries after ``prev_index``; without entries, a heartbeat.

    ``round_s`` is the leader's clock at the time of sending. The reply
    repeats it, and the leader's lease starts at it.
    """

    term: int
    prev_index: int
    prev_term: int
    commit_index: int
    round_s: float
    entries: tuple[entry.Entry, ...] = ()
    kind: typing.Literal['append'] = 'append'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AppendReply:
    """Reply to an `AppendRequest` or a `SnapshotRequest`.

    If ``ok``, ``match_index`` is the last entry that equals the
    leader's and is on the sender's disk; else it is the last index from
    which the leader should try next.
    """

    term: int
    ok: bool
    match_index: int
    round_s: float
    kind: typing.Literal['append_reply'] = 'append_reply'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SnapshotRequest:
    """Snapshot for a replica that is behind the start of the log."""

    term: int
    snapshot: snapshot_module.Snapshot
    round_s: float
    kind: typing.Literal['snapshot'] = 'snapshot'


Message = (
    PreVoteRequest
    | PreVoteReply
    | VoteRequest
    | VoteReply
    | AppendRequest
    | AppendReply
    | SnapshotRequest
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Envelope:
    """A message with the identities of its sender and receiver.

    A replica drops messages to other identities, so a host that lost
    its disk never answers for its former replica.
    """

    sender: str
    to: str
    message: Message
