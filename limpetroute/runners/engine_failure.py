"""Outcomes of a runner's refusal or failure."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Refused:
    """The runner says itself that it did not run the call."""

    reason: str
    free_slots: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Failed:
    """The call failed; with ``sent`` true the runner may have run it.

    Parameters
    ----------
    reason : str
        Text for a log line.
    sent : bool
        Whether a byte may have reached the runner.
    resumable : bool
        Whether only the stream broke, and the run may go on there.
    """

    reason: str
    sent: bool
    resumable: bool = False


EngineFailure = Refused | Failed
