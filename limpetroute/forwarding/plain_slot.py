"""The runner of one send, with the slot that is leased for it."""

import asyncio
import typing

from limpetroute.forwarding import plain_slot_client
from limpetroute.routing import plain_slot_request
from limpetroute.routing import runner_info
from limpetroute.routing import send_result


class PlainSlot:
    """The runner of one send, with the slot that is leased for it.

    Parameters
    ----------
    runner : RunnerInfo
        The runner.
    lease : SlotLease or None
        The slot; None if the host has chosen the runner by itself.
    local_reason : str
        Why it has, while hosts share their load.
    """

    def __init__(
        self,
        *,
        runner: runner_info.RunnerInfo,
        lease: plain_slot_client.SlotLease | None = None,
        local_reason: str = '',
    ) -> None:
        self.runner = runner
        self._lease = lease
        self._local_reason = local_reason
        self._sent_s: float | None = None

    def __repr__(self) -> str:
        return (
            f'{type(self).__name__}(runner={self.runner.runner_id!r}, '
            f'lease={self._lease!r})'
        )

    def begin_send(self) -> None:
        """Note that the request is being sent."""
        self._sent_s = _now_s()

    def end(self, result: send_result.SendResult) -> None:
        """Return the slot with the result of the send."""
        if self._lease is not None:
            self._lease.end(result.value, self._took_s())

    def give_back(self) -> None:
        """Return the slot if it has not been returned."""
        if self._lease is None:
            return
        if self._sent_s is None:
            self._lease.end(plain_slot_request.SlotEnd.UNUSED)
        else:
            self._lease.end(plain_slot_request.SlotEnd.CUT, self._took_s())

    def log_fields(self) -> dict[str, typing.Any]:
        """Return how the runner was chosen; empty if load is not shared."""
        if self._lease is not None:
            return {
                'slot': 'leased',
                'slot_wait_ms': round(self._lease.waited_s * 1000),
            }
        if self._local_reason:
            return {'slot': 'local', 'slot_reason': self._local_reason}
        return {}

    def _took_s(self) -> float:
        return 0.0 if self._sent_s is None else _now_s() - self._sent_s


def _now_s() -> float:
    return asyncio.get_running_loop().time()
