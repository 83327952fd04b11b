"""Outcomes of calls that a runner refused or that failed."""

import dataclasses

# Reason of a decode runner whose source does not have the KV cache.
NO_KV_CACHE = 'no such KV cache'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Refused:
    """The runner reported that it did not run the call."""

    reason: str
    free_slots: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Failed:
    """The call failed; if ``sent`` is true, the runner may have run it.

    Parameters
    ----------
    reason : str
        Description for the log.
    sent : bool
        Whether any byte may have reached the runner.
    resumable : bool
        Whether only the stream broke, so that the run may still be active.
    """

    reason: str
    sent: bool
    resumable: bool = False


EngineFailure = Refused | Failed
