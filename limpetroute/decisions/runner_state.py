"""State of one runner, as this router counts it."""

from limpetroute.decisions import runner_facts


class RunnerState:
    """Capacity, load and health of one runner, as this router counts it.

    A slot and its bytes are reserved under the name of a request, and
    `reserve` rejects a second reservation for the same request. The
    ``foreign_`` counts are slots and bytes used by other hosts.

    Parameters
    ----------
    facts : RunnerFacts
        Its newest announcement.
    """

    __slots__ = (
        'ejected',
        'facts',
        'foreign_bytes',
        'foreign_slots',
        'outstanding_prefill_s',
        'outstanding_prefills',
        'paused_until_s',
        'prefills_done_s',
        'reservations',
        'reserved_bytes',
    )

    def __init__(self, *, facts: runner_facts.RunnerFacts) -> None:
        self.facts = facts
        self.outstanding_prefills: dict[str, float] = {}
        self.outstanding_prefill_s = 0.0
        self.reservations: dict[str, int] = {}
        self.reserved_bytes = 0
        self.foreign_slots = 0
        self.foreign_bytes = 0
        self.paused_until_s = 0.0
        self.prefills_done_s = 0.0
        self.ejected = False

    def __repr__(self) -> str:
        return f'{type(self).__name__}(facts={self.facts!r})'

    @property
    def runner_id(self) -> str:
        """Name of the runner."""
        return self.facts.runner_id

    @property
    def free_slots(self) -> int:
        """Slots that no host is known to use."""
        return self.facts.slots - len(self.reservations) - self.foreign_slots

    @property
    def free_bytes(self) -> int:
        """KV memory that no host is known to use."""
        used = self.reserved_bytes + self.foreign_bytes
        return self.facts.kv_capacity_bytes - used

    @property
    def usable(self) -> bool:
        """Whether new requests may be sent to it."""
        return not self.facts.leaving and not self.ejected

    def free_in_s(self, now_s: float) -> float:
        """Predicted time until it can take more of this host's work."""
        until_s = self.paused_until_s
        if self.outstanding_prefills:
            until_s = max(until_s, self.prefills_done_s)
        return max(0.0, until_s - now_s)

    def start_prefill(
        self, work_id: str, seconds: float, done_at_s: float
    ) -> None:
        """Count a prefill that was sent to the runner.

        Parameters
        ----------
        seconds : float
            Predicted duration of the prefill.
        done_at_s : float
            Predicted time of its end.
        """
        self.prefills_done_s = done_at_s
        self.outstanding_prefills[work_id] = seconds
        self.outstanding_prefill_s += seconds

    def end_prefill(self, work_id: str) -> None:
        """Remove a prefill from the count; idempotent."""
        seconds = self.outstanding_prefills.pop(work_id, None)
        if seconds is None:
            return
        self.outstanding_prefill_s -= seconds
        if not self.outstanding_prefills:
            self.outstanding_prefill_s = 0.0

    def fits(self, kv_bytes: int) -> bool:
        """Whether a slot and this much KV memory are free."""
        return self.free_slots >= 1 and self.free_bytes >= kv_bytes

    def reserve(self, work_id: str, kv_bytes: int) -> None:
        """Reserve a slot and memory.

        Raises
        ------
        ValueError
            If the request already has a reservation here.
        """
        if work_id in self.reservations:
            raise ValueError(
                f'{work_id!r} already has a reservation on {self.runner_id!r}'
            )
        self.reservations[work_id] = kv_bytes
        self.reserved_bytes += kv_bytes

    def release(self, work_id: str) -> None:
        """Release a reservation; idempotent."""
        kv_bytes = self.reservations.pop(work_id, None)
        if kv_bytes is not None:
            self.reserved_bytes -= kv_bytes
