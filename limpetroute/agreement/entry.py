"""One entry of the replicated log."""

import dataclasses
import enum


class EntryKind(enum.StrEnum):
    """Kind of a log entry."""

    COMMAND = 'command'
    MEMBERS = 'members'
    NOOP = 'noop'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Entry:
    """One entry of the replicated log.

    Parameters
    ----------
    index : int
        Position in the log, from 1.
    term : int
        Term of the leader that appended it.
    kind : EntryKind
        Command of the embedding program, membership, or no-op.
    data : bytes
        The command, or the membership's JSON text.
    """

    index: int
    term: int
    kind: EntryKind = EntryKind.COMMAND
    data: bytes = b''
