"""One entry of the replicated log."""

import dataclasses
import enum


class EntryKind(enum.StrEnum):
    """What an entry is for."""

    COMMAND = 'command'
    MEMBERS = 'members'
    NOOP = 'noop'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Entry:
    """One entry of the replicated log.

    Parameters
    ----------
    index : int
        Place in the log, from 1.
    term : int
        Term of the leader that made it.
    kind : EntryKind
        Command of the embedding program, a membership, or nothing.
    data : bytes
        The command, or the membership's JSON text.
    """

    index: int
    term: int
    kind: EntryKind = EntryKind.COMMAND
    data: bytes = b''
