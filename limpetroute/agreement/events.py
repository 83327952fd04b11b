"""What can happen to a replica."""

import dataclasses

from limpetroute.agreement import messages


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Tick:
    """Time has passed."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Received:
    """A message came."""

    envelope: messages.Envelope


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Propose:
    """Commands to append, in order."""

    commands: tuple[bytes, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AddLearner:
    """A new replica is to receive the log.

    The leader makes it a voter once it has caught up.
    """

    replica_id: str
    host_id: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RemoveMember:
    """A replica is gone for good and counts no more."""

    replica_id: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Persisted:
    """All writes up to ``write_id`` are on disk, synced."""

    write_id: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PersistFailed:
    """A write failed; what the disk holds is not known any more."""

    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Compact:
    """``data`` is the state after the entry at ``index``."""

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
