"""How a run ended, as kept in its record."""

import dataclasses
import enum


class EndKind(enum.StrEnum):
    """Outcome a caller is told."""

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
        Usage.
    retry_after_s : float or None
        When coming back is expected to succeed.
    """

    kind: EndKind
    finish_reason: str = 'stop'
    prompt_tokens: int = 0
    completion_tokens: int = 0
    retry_after_s: float | None = None
