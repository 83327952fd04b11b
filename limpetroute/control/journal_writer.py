"""The task that owns the journal: one sync for all that waits."""

import asyncio
import concurrent.futures
import logging
import typing

from limpetroute.control import journal as journal_module

LOG = logging.getLogger(__name__)


class JournalWriter:
    """The task that owns the journal: one sync for all that waits.

    The sync runs in a thread, so that heartbeats go on while a slow
    disk takes its time. What comes in meanwhile shares the next sync.

    Parameters
    ----------
    journal : Journal
        Used by this task alone from now on.
    on_synced : callable
        Called with group and write number.
    on_failed : callable
        Called once, with the reason; nothing is written after it.
    max_batch : int or None
        Most items for one sync; None for all that waits.
    """

    def __init__(
        self,
        *,
        journal: journal_module.Journal,
        on_synced: typing.Callable[[int, int], None],
        on_failed: typing.Callable[[str], None],
        max_batch: int | None = None,
    ) -> None:
        self._journal = journal
        self._on_synced = on_synced
        self._on_failed = on_failed
        self._max_batch = max_batch
        self._waiting: list[journal_module.GroupWrites] = []
        self._wake = asyncio.Event()
        self._thread = concurrent.futures.ThreadPoolExecutor(
            max_workers=1, thread_name_prefix='journal'
        )
        self._task: asyncio.Task[None] | None = None
        self.syncs = 0

    def __repr__(self) -> str:
        return f'{type(self).__name__}(waiting={len(self._waiting)!r})'

    def start(self) -> None:
        """Begin to write."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Finish the write in progress and end."""
        if self._task is not None:
            self._task.cancel()
        loop = asyncio.get_running_loop()
        await loop.run_in_executor(None, self._thread.shutdown)

    def put(self, item: journal_module.GroupWrites) -> None:
        """Queue writes."""
        self._waiting.append(item)
        self._wake.set()

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await self._wake.wait()
            batch = self._take()
            try:
                await loop.run_in_executor(
                    self._thread, self._journal.write, batch
                )
            except (OSError, ValueError) as exc:
                LOG.error('journal: %s; this replica steps back', exc)
                self._on_failed(f'disk: {exc}')
                return
            self.syncs += 1
            for item in batch:
                self._on_synced(item.group, item.write_id)

    def _take(self) -> list[journal_module.GroupWrites]:
        count = self._max_batch or len(self._waiting)
        batch = self._waiting[:count]
        del self._waiting[:count]
        if not self._waiting:
            self._wake.clear()
        return batch
