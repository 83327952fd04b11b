"""A request record together with those who wait for its events."""

import asyncio
import time
import typing

from limpetroute.decisions import stage as stage_module
from limpetroute.entry.callers import answer_format
from limpetroute.peers import request_record
from limpetroute.peers import run_end

BeforeEnd = typing.Callable[['LiveRecord'], typing.Awaitable[None]]


class LiveRecord:
    """Wakes the attachments of a record when it changes.

    Parameters
    ----------
    record : RequestRecord
        The record.
    shape : AnswerFormat
        Shape of the answers, the same for every attachment.
    include_usage : bool
        Whether streams end with the usage.
    on_end : callable
        Called once with this record when it ends.
    """

    __slots__ = (
        '_grace',
        '_on_end',
        '_timer',
        '_waiters',
        'arrived_s',
        'attached',
        'attempt_start_index',
        'attempt_run_id',
        'before_end',
        'cancel_reason',
        'ended_s',
        'first_token_s',
        'gone_s',
        'handed_over',
        'include_usage',
        'last_token_s',
        'record',
        'runner_id',
        'shape',
        'size_bytes',
        'stage',
        'task',
    )

    def __init__(
        self,
        *,
        record: request_record.RequestRecord,
        shape: answer_format.AnswerFormat,
        include_usage: bool = False,
        on_end: typing.Callable[['LiveRecord'], None] | None = None,
    ) -> None:
        self.record = record
        self.shape = shape
        self.include_usage = include_usage
        self.arrived_s = 0.0
        self.attached = 0
        self.task: asyncio.Task[None] | None = None
        self.stage = stage_module.Stage.QUEUED
        self.attempt_run_id: str | None = None
        self.attempt_start_index = 0
        self.before_end: BeforeEnd | None = None
        self.runner_id: str | None = None
        self.cancel_reason = 'caller_gone'
        self.handed_over = False
        self.gone_s: float | None = None
        self.ended_s: float | None = None
        self.first_token_s: float | None = None
        self.last_token_s: float | None = None
        self.size_bytes = 0
        self._on_end = on_end
        self._grace: asyncio.TimerHandle | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._waiters: list[tuple[float, asyncio.Future[bool]]] = []

    def __repr__(self) -> str:
        return f'{type(self).__name__}(record={self.record!r})'

    def append(self, text: str, now_s: float) -> None:
        """Add an event."""
        if self.first_token_s is None:
            self.first_token_s = now_s
        self.last_token_s = now_s
        self.size_bytes += len(text)
        self.record.append(text)
        self.wake()

    def finish(self, end: run_end.RunEnd) -> None:
        """Set the end; only the first one counts."""
        if not self.record.finish(end):
            return
        self.ended_s = time.monotonic()
        self.wake()
        if self._on_end is not None:
            self._on_end(self)

    def cancel(self, reason: str) -> None:
        """End the run; nobody is to receive more of it."""
        if self.record.end is not None or self.task is None:
            return
        self.cancel_reason = reason
        self.task.cancel()

    async def wait_ended(self) -> None:
        """Wait for the end of the run."""
        if self.task is not None:
            await asyncio.wait([self.task])

    def attach(
        self, *, after_index: int | None = None
    ) -> request_record.Attachment:
        """Make a new attachment, which fences the older ones."""
        attachment = self.record.attach(after_index=after_index)
        self.attached += 1
        self.gone_s = None
        if self._grace is not None:
            self._grace.cancel()
            self._grace = None
        self.wake()
        return attachment

    def detach(self, grace_s: float) -> None:
        """Take a connection away that has ended.

        The run goes on for ``grace_s``, in which the caller may come
        back; then it is cancelled, so that no engine memory is held for
        an answer that nobody is going to read.
        """
        self.attached -= 1
        if self.attached or self.record.end is not None:
            return
        self.gone_s = time.monotonic()
        loop = asyncio.get_running_loop()
        self._grace = loop.call_later(grace_s, self._cancel_unless_attached)

    def await_caller(self, grace_s: float) -> None:
        """Cancel the run unless a caller attaches in time."""
        loop = asyncio.get_running_loop()
        self._grace = loop.call_later(grace_s, self._cancel_unless_attached)

    async def close(self) -> None:
        """Note, here and at the copy, that the end may be told now.

        With this host lost right after the last write, the heir would
        otherwise tell a whole answer a second time.
        """
        if self.record.closing:
            return
        self.record.closing = True
        if self.before_end is not None:
            await self.before_end(self)

    def wake(self) -> None:
        """Wake all that wait in `wait_for_event`."""
        waiters, self._waiters = self._waiters, []
        for _, waiter in waiters:
            if not waiter.done():
                waiter.set_result(False)

    async def wait_for_event(
        self,
        attachment: request_record.Attachment,
        index: int,
        timeout_s: float,
    ) -> bool:
        """Wait for an event from ``index`` on, the end, or a fence.

        Returns
        -------
        bool
            False if none of them came within ``timeout_s``.
        """
        loop = asyncio.get_running_loop()
        due_s = loop.time() + timeout_s
        while not self._is_past(attachment, index):
            waiter = loop.create_future()
            place = due_s, waiter
            self._waiters.append(place)
            if self._timer is None:
                self._timer = loop.call_at(due_s, self._expire)
            try:
                timed_out = await waiter
            finally:
                if place in self._waiters:
                    self._waiters.remove(place)
            if timed_out:
                return self._is_past(attachment, index)
        return True

    def _expire(self) -> None:
        """Wake those who have waited long enough.

        One timer serves all waits of a record and is set anew only when
        it fires: a timer for each word would cost more than the word.
        """
        self._timer = None
        loop = asyncio.get_running_loop()
        now_s = loop.time()
        for due_s, waiter in self._waiters:
            if due_s <= now_s and not waiter.done():
                waiter.set_result(True)
        later = [due_s for due_s, _ in self._waiters if due_s > now_s]
        if later:
            self._timer = loop.call_at(min(later), self._expire)

    def _is_past(
        self, attachment: request_record.Attachment, index: int
    ) -> bool:
        record = self.record
        if len(record.events) > index or record.end is not None:
            return True
        return not record.is_current(attachment)

    def _cancel_unless_attached(self) -> None:
        self._grace = None
        if not self.attached:
            self.cancel('caller_gone')
