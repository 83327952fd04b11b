"""Outcome types of a call to a plain service."""

import dataclasses

from limpetroute.entry.runs import send_guard
from limpetroute.runners import service_call


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Answered:
    """The service answered.

    Parameters
    ----------
    reply : ServiceReply
        The service's reply.
    stored : bool
        Whether the reply was stored by an earlier call under the same
        key.
    """

    reply: service_call.ServiceReply
    stored: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NotRun:
    """The call provably did not run.

    Parameters
    ----------
    proof : NotRunProof
        Evidence that the call did not run.
    reason : str
        Why the call was not run.
    retry_after_s : float
        Seconds after which a retry may succeed.
    key_spent : bool
        Whether the refusal is stored under the idempotency key, so that
        a retry needs a new key.
    """

    proof: send_guard.NotRunProof
    reason: str
    retry_after_s: float = 1.0
    key_spent: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Unknown:
    """The call may have run, and never runs again under the same key.

    Parameters
    ----------
    reason : str
        Why the outcome is not known.
    timed_out : bool
        Whether the runner exceeded the time limit.
    retry_after_s : float or None
        Seconds after which a retry under the same key may return a
        known outcome; None if a retry is not expected to help.
    """

    reason: str
    timed_out: bool = False
    retry_after_s: float | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class KeyReused:
    """The idempotency key was already used for a different call."""


ServiceOutcome = Answered | NotRun | Unknown | KeyReused
