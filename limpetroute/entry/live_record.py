"""A request record together with those who wait for its events."""

import asyncio

from limpetroute.peers import request_record
from limpetroute.peers import run_end


class LiveRecord:
    """Wakes the attachments of a record when it changes.

    Parameters
    ----------
    record : RequestRecord
        The record.
    """

    __slots__ = ('_changed', 'attached', 'record', 'task')

    def __init__(self, *, record: request_record.RequestRecord) -> None:
        self.record = record
        self.attached = 0
        self.task: asyncio.Task[None] | None = None
        self._changed = asyncio.Event()

    def __repr__(self) -> str:
        return f'{type(self).__name__}(record={self.record!r})'

    def append(self, text: str) -> None:
        """Add an event."""
        self.record.append(text)
        self.wake()

    def finish(self, end: run_end.RunEnd) -> None:
        """Set the end; only the first one counts."""
        self.record.finish(end)
        self.wake()

    def wake(self) -> None:
        """Wake all that wait in `wait_past`."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_past(
        self, attachment: request_record.Attachment, index: int
    ) -> None:
        """Wait for an event from ``index`` on, the end, or a fence."""
        while True:
            record = self.record
            if len(record.events) > index or record.end is not None:
                return
            if not record.is_current(attachment):
                return
            await self._changed.wait()
