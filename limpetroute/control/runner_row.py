"""One runner's row in the replicated state."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RunnerRow:
    """One runner's row in the replicated state.

    Parameters
    ----------
    runner_id : str
        Identity of the runner, which it may keep across restarts.
    address : str
        ``IP:PORT`` at which the runner accepts requests.
    text : str
        The other fields of its announcement, as JSON.
    sequence : int
        Number of the announcement since the runner's start.
    state : str
        See `RunnerState`.
    changed_index : int
        Log index of the row's last change.
    started_ms : int
        Unix time of the runner's start in milliseconds; 0 if not announced.
    """

    runner_id: str
    address: str
    text: str
    sequence: int
    state: str
    changed_index: int
    started_ms: int = 0
