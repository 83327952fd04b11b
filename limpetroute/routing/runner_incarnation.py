"""Identity of one lifetime of a runner."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RunnerIncarnation:
    """One lifetime of a runner, from its start to its end.

    Parameters
    ----------
    runner_id : str
        Identity of the runner, which it keeps when it restarts.
    started_ms : int
        Unix time of its start in milliseconds; 0 if unknown.
    """

    runner_id: str
    started_ms: int
