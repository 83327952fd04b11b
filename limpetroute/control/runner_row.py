"""What the control log holds of one runner."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RunnerRow:
    """What the control log holds of one runner.

    Parameters
    ----------
    runner_id : str
        Identity of one start of a runner process.
    address : str
        ``IP:PORT`` at which it takes requests.
    text : str
        The rest of its announcement, as JSON.
    sequence : int
        Number of the announcement within the runner's life.
    state : str
        See `RunnerState`.
    changed_index : int
        Place in the log of its last change.
    """

    runner_id: str
    address: str
    text: str
    sequence: int
    state: str
    changed_index: int
