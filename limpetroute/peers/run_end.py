"""The end of a run, as kept in the request record."""

import dataclasses
import enum


class EndKind(enum.StrEnum):
    """Outcome of a run, as reported to the caller."""

    COMPLETED = 'completed'
    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'
    CANCELLED = 'cancelled'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RunEnd:
    """End of a run.

    Parameters
    ----------
    kind : EndKind
        Outcome.
    finish_reason : str
        ``stop`` or ``length`` for a completed run, else the reason.
    prompt_tokens, completion_tokens : int
        Token usage.
    retry_after_s : float or None
        Time after which a retry is expected to succeed.
    """

    kind: EndKind
    finish_reason: str = 'stop'
    prompt_tokens: int = 0
    completion_tokens: int = 0
    retry_after_s: float | None = None
