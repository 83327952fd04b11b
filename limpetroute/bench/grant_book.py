"""The lease holder's count of each decode runner's room."""

from limpetroute.border import experiment


class GrantBook:
    """Grants slots and KV memory of decode runners, one count for all.

    Parameters
    ----------
    shape : DeploymentBody
        Slots and memory of a runner.
    """

    __slots__ = ('_held', '_shape')

    def __init__(self, *, shape: experiment.DeploymentBody) -> None:
        self._shape = shape
        self._held: dict[str, dict[str, int]] = {}

    def acquire(self, runner_id: str, work_id: str, kv_bytes: int) -> bool:
        """Hold room, or refuse."""
        held = self._held.setdefault(runner_id, {})
        if work_id in held:
            return True
        if len(held) >= self._shape.slots:
            return False
        if sum(held.values()) + kv_bytes > self._shape.kv_capacity_bytes:
            return False
        held[work_id] = kv_bytes
        return True

    def release(self, runner_id: str, work_id: str) -> None:
        """Give room back; idempotent."""
        self._held.get(runner_id, {}).pop(work_id, None)

    def free_slots(self, runner_id: str) -> int:
        """Slots that nobody holds."""
        return self._shape.slots - len(self._held.get(runner_id, {}))
