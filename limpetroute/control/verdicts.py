"""What became of a command that a host was asked to commit."""

import dataclasses

from limpetroute.control import results


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Committed:
    """A quorum has it on disk, and it was applied."""

    result: results.Result


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NotRun:
    """It was not written, and never will be by this try.

    ``leader_host`` is where to try, if known.
    """

    reason: str
    leader_host: str = ''


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Unknown:
    """It may still be committed; sending it again settles it."""

    reason: str


Verdict = Committed | NotRun | Unknown
