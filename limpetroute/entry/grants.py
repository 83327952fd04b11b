"""Room at a runner, granted before anything is sent to it."""

import dataclasses
import typing


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Granted:
    """Room is held; ``fence`` goes with each order to the runner."""

    fence: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Denied:
    """No room; ``free_slots`` is the grantor's count."""

    free_slots: int


class GrantSource(typing.Protocol):
    """Grants slots and KV memory of runners."""

    async def acquire(
        self, *, runner_id: str, work_id: str, kv_bytes: int
    ) -> Granted | Denied:
        """Ask for a slot and KV memory."""

    def release(self, *, runner_id: str, work_id: str) -> None:
        """Give room back; idempotent."""


class LocalGrants:
    """Grants everything: this host is alone, its router counts."""

    async def acquire(
        self, *, runner_id: str, work_id: str, kv_bytes: int
    ) -> Granted | Denied:
        """Grant the room."""
        return Granted(fence=0)

    def release(self, *, runner_id: str, work_id: str) -> None:
        """Hold nothing, so give nothing back."""
