"""A runner's own report of its load, which lags."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LoadReport:
    """Load of one runner at a moment in the past.

    Parameters
    ----------
    runner_id : str
        The runner that reports.
    sequence : int
        Grows with each report of one incarnation.
    measured_s : float
        When it was measured, on the router's clock.
    running : int
        Requests that hold a slot.
    waiting : int
        Requests accepted that hold no slot yet.
    waiting_tokens : int
        Prompt tokens of the waiting requests.
    kv_used_bytes : int
        KV memory in use.
    step_s : float
        Time of the last batch step.
    """

    runner_id: str
    sequence: int
    measured_s: float
    running: int
    waiting: int
    waiting_tokens: int
    kv_used_bytes: int
    step_s: float
