"""What the control log holds of one runner."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RunnerRow:
    """What the control log holds of one runner.

    Parameters
    ----------
    runner_id : str
        Identity of a runner; it may start again under the same.
    address : str
        ``IP:PORT`` at which it takes requests.
    text : str
        The rest of its announcement, as JSON.
    sequence : int
        Number of the announcement since the runner's start.
    state : str
        See `RunnerState`.
    changed_index : int
        Place in the log of its last change.
    started_ms : int
        Unix time of the runner's start in milliseconds; 0 if not told.
    """

    runner_id: str
    address: str
    text: str
    sequence: int
    state: str
    changed_index: int
    started_ms: int = 0
