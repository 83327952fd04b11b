"""Outcomes of a call of a plain service, as tagged values."""

import dataclasses

from limpetroute.entry.runs import send_guard
from limpetroute.runners import service_call


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Answered:
    """The service answered; ``stored`` if that was on an earlier call."""

    reply: service_call.ServiceReply
    stored: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NotRun:
    """Nothing of the call ran.

    Parameters
    ----------
    proof : NotRunProof
        Why that is known.
    reason : str
        Why it was not run.
    retry_after_s : float
        When coming back is expected to succeed.
    key_spent : bool
        Whether the key stands for this refusal from now on, so that the
        call needs a new one.
    """

    proof: send_guard.NotRunProof
    reason: str
    retry_after_s: float = 1.0
    key_spent: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Unknown:
    """The call may have run; it never runs twice under this key.

    Parameters
    ----------
    reason : str
        Why it is not known.
    timed_out : bool
        Whether the runner did not answer in time.
    retry_after_s : float or None
        When the same call under the same key may get a better answer;
        None if nothing was learned to expect that.
    """

    reason: str
    timed_out: bool = False
    retry_after_s: float | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class KeyReused:
    """The key stands for another call."""


ServiceOutcome = Answered | NotRun | Unknown | KeyReused
