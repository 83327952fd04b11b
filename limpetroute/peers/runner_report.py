"""A runner's report as the grants need it."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RunnerReport:
    """What a decode runner said it holds.

    Parameters
    ----------
    runner_id, zone : str
        The runner and its availability zone.
    incarnation, sequence : int
        Order of the reports.
    measured_s : float
        Earliest moment it can have been measured, on this host's clock.
    slots : int
        Requests the runner holds at a time.
    kv_capacity_bytes, kv_used_bytes : int
        KV memory in all and in use.
    runs : frozenset of str
        Runs that hold a slot.
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
        """Place among the reports of one runner."""
        return (self.incarnation, self.sequence)
