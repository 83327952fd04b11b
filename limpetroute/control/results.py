"""Results of committed commands."""

import dataclasses

from limpetroute.control import manifest_store
from limpetroute.control import routes_store


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class FenceGiven:
    """The next fencing number of a name."""

    name: str
    fence: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Granted:
    """The claim is granted to the command's token."""

    fence: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Found:
    """The call was claimed before; ``status`` is 0 while unsettled."""

    same_body: bool
    status: int
    body: str
    holder: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Settled:
    """The outcome is written; ``known`` is false if there is no claim."""

    known: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TrialDecided:
    """Whether a request may be tried; see `quarantine.Trial`."""

    trial: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Done:
    """The command was applied and has no result."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Full:
    """A limit of the state is reached; nothing was written."""

    reason: str


Result = (
    manifest_store.Verdict
    | routes_store.RoutesTaken
    | FenceGiven
    | Granted
    | Found
    | Settled
    | TrialDecided
    | Done
    | Full
)
