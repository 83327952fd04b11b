"""One life of a runner."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RunnerLife:
    """One life of a runner, from a start to its end.

    Parameters
    ----------
    runner_id : str
        Identity of the runner; it may start again under the same.
    started_ms : int
        Unix time of its start in milliseconds; 0 if not told.
    """

    runner_id: str
    started_ms: int
