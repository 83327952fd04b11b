"""A task that writes the journal, with one sync for all queued writes."""

import asyncio
import concurrent.futures
import logging
import typing

from limpetroute.control import journal as journal_module

LOG = logging.getLogger(__name__)


class JournalWriter:
    """A task that writes the journal, with one sync for all queued writes.

    The sync runs in a thread, so that a slow disk does not delay
    heartbeats. Writes that are queued meanwhile share the next sync.

    Parameters
    ----------
    journal : Journal
        The journal, which no other code may use from now on.
    on_synced : callable
        Called with the group's number and the number of a synced write.
    on_failed : callable
        Called once, with the reason; nothing is written after it.
    max_batch : int or None
        Maximum number of items in one sync; None for no limit.
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
        """Start the task."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Finish the write in progress and stop the task."""
        if self._task is not None:
            self._task.cancel()
        loop = asyncio.get_running_loop()
        await loop.run_in_executor(None, self._thread.shutdown)

    def put(self, item: journal_module.GroupWrites) -> None:
        """Queue writes for the next sync."""
        self._waiting.append(item)
        self._wake.set()

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await self._wake.wait()
            batch = self._next_batch()
            try:
                await loop.run_in_executor(
                    self._thread, self._journal.write, batch
                )
            except (OSError, ValueError) as exc:
                LOG.error('journal: %s; this replica has failed', exc)
                self._on_failed(f'disk: {exc}')
                return
            self.syncs += 1
            for item in batch:
                self._on_synced(item.group, item.write_id)

    def _next_batch(self) -> list[journal_module.GroupWrites]:
        count = self._max_batch or len(self._waiting)
        batch = self._waiting[:count]
        del self._waiting[:count]
        if not self._waiting:
            self._wake.clear()
        return batch
