"""Cancels runs at runners and repeats cancel calls that fail."""

import asyncio
import logging
import typing

from limpetroute.runners import engine_client

LOG = logging.getLogger(__name__)

CANCEL_TIMEOUT_S = 2.0
MAX_TRIES = 8
FIRST_DELAY_S = 0.05
MAX_DELAY_S = 2.0


class RunCanceller:
    """Owns the cancel calls, which outlive their requests' tasks.

    A cancel call in the request's own task would end with that task. A
    cancel call that failed and was not repeated would leave a slot and
    its KV memory in use on the runner. So each call is repeated until
    the runner confirms it or ``MAX_TRIES`` calls have failed. The reaper
    ends what then remains on a runner that could not be reached.
    """

    __slots__ = ('_tasks', 'gave_up')

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[bool]] = set()
        self.gave_up = 0

    def __repr__(self) -> str:
        return f'{type(self).__name__}(pending={self.pending!r})'

    @property
    def pending(self) -> int:
        """Number of cancels that no runner has confirmed yet."""
        return len(self._tasks)

    def cancel(
        self,
        *,
        run_id: str,
        engine: engine_client.EngineClient,
        on_end: typing.Callable[[bool], None],
    ) -> None:
        """Cancel a run at one runner in the background.

        Parameters
        ----------
        run_id : str
            Run id of the attempt.
        engine : EngineClient
            Client of the runner.
        on_end : callable
            Called once with whether the runner confirmed the cancel.
        """
        task = asyncio.create_task(self._cancel(run_id, engine))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        task.add_done_callback(
            lambda done: on_end(not done.cancelled() and done.result())
        )

    async def drain(self, timeout_s: float) -> None:
        """Wait up to ``timeout_s`` for the cancels in progress."""
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=timeout_s)

    async def _cancel(
        self, run_id: str, engine: engine_client.EngineClient
    ) -> bool:
        delay_s = FIRST_DELAY_S
        for _ in range(MAX_TRIES):
            if await engine.cancel(run_id, timeout_s=CANCEL_TIMEOUT_S):
                return True
            await asyncio.sleep(delay_s)
            delay_s = min(2 * delay_s, MAX_DELAY_S)
        self.gave_up += 1
        LOG.warning('%s was not freed at %s', run_id, engine.url)
        return False
