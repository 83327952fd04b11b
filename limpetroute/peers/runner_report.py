"""The part of a runner's report that grants are based on."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RunnerReport:
    """Capacity and runs that a decode runner reported.

    Parameters
    ----------
    runner_id, zone : str
        The runner and its availability zone.
    incarnation, sequence : int
        Start of the runner, and the report's number since then.
    measured_s : float
        Earliest time the report can have been measured, on this host's
        clock.
    slots : int
        Number of requests that the runner can hold at a time.
    kv_capacity_bytes, kv_used_bytes : int
        Total KV memory, and KV memory in use.
    runs : frozenset of str
        Ids of the runs that occupy a slot.
    leaving : bool
        Whether the runner takes no new work.
    """

    runner_id: str
    zone: str
    incarnation: int
    sequence: int
    measured_s: float
    slots: int
    kv_capacity_bytes: int
    kv_used_bytes: int
    runs: frozenset[str]
    leaving: bool = False

    @property
    def order(self) -> tuple[int, int]:
        """Sort key of the reports of one runner; the highest is the newest."""
        return (self.incarnation, self.sequence)
