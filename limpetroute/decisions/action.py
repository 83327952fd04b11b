"""What the router tells the entry process to do."""

import dataclasses
import enum


class Reason(enum.StrEnum):
    """Why a request is not run, or not run further."""

    NO_RUNNER = 'no_runner'
    UNKNOWN_MODEL = 'unknown_model'
    SATURATED = 'saturated'
    TEAM_LIMIT = 'team_limit'
    DEADLINE = 'deadline'
    RETRIES = 'retries'
    TOO_LONG = 'too_long'
    ISOLATED = 'isolated'
    DRAINING = 'draining'
    CONTROL = 'control'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StartPrefill:
    """Read the prompt on a prefill runner.

    Parameters
    ----------
    work_id : str
        The request.
    runner_id : str
        The prefill runner.
    decode_runner_id : str or None
        Decode runner whose slot and KV memory are to be held from now
        on, or None when they are taken later.
    kv_bytes : int
        KV memory to hold there.
    priority : int
        Order in the runner's own queue; higher goes first.
    """

    work_id: str
    runner_id: str
    decode_runner_id: str | None
    kv_bytes: int
    priority: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StartDecode:
    """Move the KV cache to a decode runner and write the answer there.

    Parameters
    ----------
    work_id : str
        The request.
    runner_id : str
        The decode runner; its room is asked for now unless
        `StartPrefill` already held it there.
    kv_bytes : int
        KV memory to hold there.
    transfer_timeout_s : float or None
        When to abandon the transfer, or None for the settings' limit.
    """

    work_id: str
    runner_id: str
    kv_bytes: int
    transfer_timeout_s: float | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class GiveUp:
    """Answer the caller at once that the request is not run further.

    Parameters
    ----------
    work_id : str
        The request.
    reason : Reason
        Why.
    retry_after_s : float
        When coming back is expected to succeed.
    """

    work_id: str
    reason: Reason
    retry_after_s: float


Action = StartPrefill | StartDecode | GiveUp
