"""Actions that the router returns to the entry process."""

import dataclasses
import enum


class Reason(enum.StrEnum):
    """Why a request is rejected or stopped."""

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
    """Prefill the prompt on a prefill runner.

    Parameters
    ----------
    work_id : str
        The request.
    runner_id : str
        The prefill runner.
    decode_runner_id : str or None
        Decode runner on which a slot and KV memory are reserved from
        now on, or None if they are reserved after the prefill.
    kv_bytes : int
        KV memory to reserve on the decode runner.
    priority : int
        Order in the runner's own queue; a higher priority goes first.
    """

    work_id: str
    runner_id: str
    decode_runner_id: str | None
    kv_bytes: int
    priority: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StartDecode:
    """Transfer the KV cache to a decode runner and decode there.

    Parameters
    ----------
    work_id : str
        The request.
    runner_id : str
        The decode runner. Its slot and memory are requested now unless
        `StartPrefill` already reserved them.
    kv_bytes : int
        KV memory to reserve on the decode runner.
    transfer_timeout_s : float or None
        Time after which the transfer is abandoned, or None for the
        limit in the settings.
    """

    work_id: str
    runner_id: str
    kv_bytes: int
    transfer_timeout_s: float | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class GiveUp:
    """Reject the request: the caller gets an error at once.

    Parameters
    ----------
    work_id : str
        The request.
    reason : Reason
        Reason for the rejection.
    retry_after_s : float
        Time after which a retry is expected to succeed.
    """

    work_id: str
    reason: Reason
    retry_after_s: float


Action = StartPrefill | StartDecode | GiveUp
