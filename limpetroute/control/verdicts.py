"""Outcomes of a request to commit a command."""

import dataclasses

from limpetroute.control import results


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Committed:
    """A quorum has the command on disk, and it was applied."""

    result: results.Result


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NotRun:
    """The command was not written, and this attempt will never write it.

    ``leader_host`` is the host to try next, if it is known.
    """

    reason: str
    leader_host: str = ''


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Unknown:
    """The command may still be committed; sending it again settles this."""

    reason: str


Verdict = Committed | NotRun | Unknown
