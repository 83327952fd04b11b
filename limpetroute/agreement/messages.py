"""Messages between the replicas of a group."""

import dataclasses
import typing

from limpetroute.agreement import entry
from limpetroute.agreement import snapshot as snapshot_module


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PreVoteRequest:
    """Asks whether an election in ``term`` could be won."""

    term: int
    last_index: int
    last_term: int
    kind: typing.Literal['pre_vote'] = 'pre_vote'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PreVoteReply:
    """Answers a `PreVoteRequest`; it promises nothing."""

    term: int
    granted: bool
    kind: typing.Literal['pre_vote_reply'] = 'pre_vote_reply'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class VoteRequest:
    """Asks for the vote in ``term``."""

    term: int
    last_index: int
    last_term: int
    kind: typing.Literal['vote'] = 'vote'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class VoteReply:
    """Answers a `VoteRequest`; a vote given is on disk."""

    term: int
    granted: bool
    kind: typing.Literal['vote_reply'] = 'vote_reply'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AppendRequest:
    """Entries after ``prev_index``; without entries, a heartbeat.

    ``round_s`` is the leader's clock at sending and comes back in the
    reply: the leader's lease runs from it.
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
    """Answers an `AppendRequest` or a `SnapshotRequest`.

    ``match_index`` is, if ``ok``, the last entry known to be the
    leader's own and on disk here; else the place to try next.
    """

    term: int
    ok: bool
    match_index: int
    round_s: float
    kind: typing.Literal['append_reply'] = 'append_reply'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SnapshotRequest:
    """State for a replica that is behind the leader's whole log."""

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
    """A message with both ends' identities.

    A replica drops what is not addressed to its own identity, so a
    host that lost its disk never answers for its former self.
    """

    sender: str
    to: str
    message: Message
