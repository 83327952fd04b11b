"""Outcomes of a request, as reported to its caller."""

import dataclasses

from limpetroute.entry.runs import send_guard
from limpetroute.peers import run_end


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NotRun:
    """The request did not run, so the caller can repeat it safely.

    Each value needs a proof, which can be created only for a request
    that did not run.
    """

    proof: send_guard.NotRunProof
    reason: str
    retry_after_s: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Unknown:
    """The request may have run."""

    reason: str
    retry_after_s: float | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Completed:
    """The whole answer is in the record."""

    finish_reason: str
    prompt_tokens: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Cancelled:
    """The run was cancelled before its answer was complete."""

    reason: str


Outcome = NotRun | Unknown | Completed | Cancelled


def given_up(
    guard: send_guard.SendGuard, reason: str, retry_after_s: float
) -> NotRun | Unknown:
    """Return the outcome of a request that is given up."""
    proof = guard.not_run_proof()
    if proof is None:
        return Unknown(reason=reason, retry_after_s=retry_after_s)
    return NotRun(proof=proof, reason=reason, retry_after_s=retry_after_s)


def as_run_end(result: Outcome, completion_tokens: int) -> run_end.RunEnd:
    """Convert an outcome to the end that is stored in the record.

    Only this function creates ends of kind ``not_run``.
    """
    if isinstance(result, Completed):
        return run_end.RunEnd(
            kind=run_end.EndKind.COMPLETED,
            finish_reason=result.finish_reason,
            prompt_tokens=result.prompt_tokens,
            completion_tokens=completion_tokens,
        )
    if isinstance(result, Cancelled):
        return run_end.RunEnd(
            kind=run_end.EndKind.CANCELLED,
            finish_reason=result.reason,
            completion_tokens=completion_tokens,
        )
    kind = run_end.EndKind.UNKNOWN
    if isinstance(result, NotRun):
        kind = run_end.EndKind.NOT_RUN
    return run_end.RunEnd(
        kind=kind,
        finish_reason=str(result.reason),
        completion_tokens=completion_tokens,
        retry_after_s=result.retry_after_s,
    )
