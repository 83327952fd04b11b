"""Ends runs at runners, though the call that does it may fail."""

import asyncio
import logging
import typing

from limpetroute.runners import engine_client

LOG = logging.getLogger(__name__)

CANCEL_TIMEOUT_S = 2.0
MAX_TRIES = 8
FIRST_PAUSE_S = 0.05
MAX_PAUSE_S = 2.0


class RunCanceller:
    """Owns the cancel calls, so that none is lost with its request.

    A cancel that belonged to the request's own task would die with it,
    and one that fails once would leave a slot and its KV memory held
    until somebody looked. Each is repeated here until the runner
    confirms it or ``MAX_TRIES`` have failed; a runner that cannot be
    reached for that long has its streams ended by the reaper.
    """

    __slots__ = ('_tasks', 'gave_up')

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[bool]] = set()
        self.gave_up = 0

    def __repr__(self) -> str:
        return f'{type(self).__name__}(pending={self.pending!r})'

    @property
    def pending(self) -> int:
        """Runs that no runner has confirmed as ended yet."""
        return len(self._tasks)

    def cancel(
        self,
        *,
        run_id: str,
        engine: engine_client.EngineClient,
        on_end: typing.Callable[[bool], None],
    ) -> None:
        """End a run at one runner, in the background.

        Parameters
        ----------
        run_id : str
            Name of the run at the runner.
        engine : EngineClient
            Client of the runner.
        on_end : callable
            Called once with whether the runner confirmed.
        """
        task = asyncio.create_task(self._free(run_id, engine))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        task.add_done_callback(
            lambda done: on_end(not done.cancelled() and done.result())
        )

    async def drain(self, timeout_s: float) -> None:
        """Wait for the cancels in progress."""
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=timeout_s)

    async def _free(
        self, run_id: str, engine: engine_client.EngineClient
    ) -> bool:
        pause_s = FIRST_PAUSE_S
        for _ in range(MAX_TRIES):
            if await engine.cancel(run_id, timeout_s=CANCEL_TIMEOUT_S):
                return True
            await asyncio.sleep(pause_s)
            pause_s = min(2 * pause_s, MAX_PAUSE_S)
        self.gave_up += 1
        LOG.warning('%s was not freed at %s', run_id, engine.url)
        return False
