"""One lifetime of a runner process."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RunnerIncarnation:
    """One lifetime of a runner process.

    Parameters
    ----------
    runner_id : str
        Identity of the runner; it may start again under the same.
    started_ms : int
        Unix time of its start in milliseconds; 0 if not told.
    """

    runner_id: str
    started_ms: int
