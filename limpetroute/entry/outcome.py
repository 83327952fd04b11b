"""Outcomes that a caller is told, as tagged values."""

import dataclasses

from limpetroute.entry import send_guard


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NotRun:
    """Nothing of the request ran.

    It takes a proof, which only a `SendGuard` gives: so that a caller
    who is told ``not_run`` can repeat the request safely.
    """

    proof: send_guard.NotRunProof
    reason: str
    retry_after_s: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Unknown:
    """The request may have run."""

    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Completed:
    """The whole answer is in the record."""

    finish_reason: str
    prompt_tokens: int
    completion_tokens: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Cancelled:
    """The caller went away, and the run was ended."""

    reason: str


Outcome = NotRun | Unknown | Completed | Cancelled
