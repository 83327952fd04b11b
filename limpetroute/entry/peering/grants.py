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

    def may_start(self, *, runner_id: str, work_id: str) -> bool:
        """Whether an order to start may still be sent under the grant.

        A grant lapses when its grantor may have been replaced; an order
        sent after that could take room that was granted again.
        """


class LocalGrants:
    """Grants everything: this host is alone, its router counts."""

    async def acquire(
        self, *, runner_id: str, work_id: str, kv_bytes: int
    ) -> Granted | Denied:
        """Grant the room."""
        return Granted(fence=0)

    def release(self, *, runner_id: str, work_id: str) -> None:
        """Hold nothing, so give nothing back."""

    def may_start(self, *, runner_id: str, work_id: str) -> bool:
        """Allow it: what is granted here does not lapse."""
        return True
