"""Load report of a runner, which lags behind its actual load."""

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
        Time of the measurement, on the router's clock.
    running : int
        Requests that hold a slot.
    waiting : int
        Accepted requests that hold no slot yet.
    waiting_tokens : int
        Prompt tokens of the waiting requests.
    kv_used_bytes : int
        KV memory in use.
    step_s : float
        Duration of the last batch step.
    """

    runner_id: str
    sequence: int
    measured_s: float
    running: int
    waiting: int
    waiting_tokens: int
    kv_used_bytes: int
    step_s: float
