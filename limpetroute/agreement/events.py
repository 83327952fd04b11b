"""Input events of a replica."""

import dataclasses

from limpetroute.agreement import messages


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Tick:
    """Time has passed."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Received:
    """A message arrived."""

    envelope: messages.Envelope


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Propose:
    """The program proposes commands, to be appended in order."""

    commands: tuple[bytes, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AddLearner:
    """A new replica shall receive the log.

    The leader promotes it to a voter once it has caught up.
    """

    replica_id: str
    host_id: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RemoveMember:
    """A replica shall be removed from the membership for good."""

    replica_id: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Persisted:
    """All writes up to ``write_id`` are synced to disk."""

    write_id: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PersistFailed:
    """A write failed, so the contents of the disk are unknown."""

    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Compact:
    """Replace the log up to ``index`` by a snapshot.

    ``data`` is the program's state after the entry at ``index``.
    """

    index: int
    data: bytes


Event = (
    Tick
    | Received
    | Propose
    | AddLearner
    | RemoveMember
    | Persisted
    | PersistFailed
    | Compact
)
