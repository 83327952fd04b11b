"""Slots and KV memory that a runner grants before a run is sent to it."""

import dataclasses
import typing


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Granted:
    """Slot and memory are reserved; each order to the runner has ``fence``."""

    fence: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Denied:
    """Nothing is free; ``free_slots`` is the granting host's count."""

    free_slots: int


class GrantSource(typing.Protocol):
    """Grants slots and KV memory of runners."""

    async def acquire(
        self, *, runner_id: str, work_id: str, kv_bytes: int
    ) -> Granted | Denied:
        """Request a slot and KV memory."""

    def release(self, *, runner_id: str, work_id: str) -> None:
        """Release a slot and its KV memory; idempotent."""

    def may_start(self, *, runner_id: str, work_id: str) -> bool:
        """Whether an order to start may still be sent under the grant.

        A grant expires when the host that gave it may have been
        replaced. An order sent after that could use a slot that was
        granted again.
        """


class LocalGrants:
    """Grants every request on a host without peers.

    The host's own scheduler counts the slots.
    """

    async def acquire(
        self, *, runner_id: str, work_id: str, kv_bytes: int
    ) -> Granted | Denied:
        """Grant the request."""
        return Granted(fence=0)

    def release(self, *, runner_id: str, work_id: str) -> None:
        """Do nothing, because nothing is reserved."""

    def may_start(self, *, runner_id: str, work_id: str) -> bool:
        """Return true, because local grants do not expire."""
        return True
