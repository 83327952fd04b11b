"""A request's record, its run's task and the coroutines waiting on it."""

import asyncio
import dataclasses
import time
import typing

from limpetroute.decisions import stage as stage_module
from limpetroute.entry.callers import answer_format
from limpetroute.peers import request_record
from limpetroute.peers import run_end

BeforeEnd = typing.Callable[['LiveRecord'], typing.Awaitable[None]]
RenderEnd = typing.Callable[[], bytes]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _WithheldEnd:
    attachment: request_record.Attachment
    render: RenderEnd


class LiveRecord:
    """Holds a record and wakes coroutines that wait for its changes.

    An attachment is a caller's connection that receives the answer.

    Parameters
    ----------
    record : RequestRecord
        The record.
    shape : AnswerFormat
        Format of the answer, the same for every attachment.
    include_usage : bool
        Whether streamed answers end with the token usage.
    on_end : callable
        Called once with this record when the record ends.

    Attributes
    ----------
    arrived_s : float
        When the request arrived, on the event loop's clock.
    attached : int
        Number of open attachments.
    attempt_start_index : int
        Events that the answer had before the current attempt.
    before_end : callable or None
        Awaited with this record before its end is delivered.
    handed_over : bool
        Whether another host continues the request.
    gone_s : float or None
        When the last attachment closed, on the monotonic clock.
    ended_s : float or None
        When the record ended, on the monotonic clock.
    """

    __slots__ = (
        '_grace_timer',
        '_on_end',
        '_wait_timer',
        '_waiters',
        '_withheld',
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
        self._grace_timer: asyncio.TimerHandle | None = None
        self._wait_timer: asyncio.TimerHandle | None = None
        self._waiters: list[tuple[float, asyncio.Future[bool]]] = []
        self._withheld: _WithheldEnd | None = None

    def __repr__(self) -> str:
        return f'{type(self).__name__}(record={self.record!r})'

    def append(self, text: str, now_s: float) -> None:
        """Append an event to the answer and wake waiting coroutines."""
        if self.first_token_s is None:
            self.first_token_s = now_s
        self.last_token_s = now_s
        self.size_bytes += len(text)
        self.record.append(text)
        self.wake()

    def finish(self, end: run_end.RunEnd) -> None:
        """Set the record's end; later calls have no effect."""
        if not self.record.finish(end):
            return
        self.ended_s = time.monotonic()
        self.wake()
        if self._on_end is not None:
            self._on_end(self)

    def cancel(self, reason: str) -> None:
        """Cancel the run's task, unless the record has ended."""
        if self.record.end is not None or self.task is None:
            return
        self.cancel_reason = reason
        self.task.cancel()

    async def wait_ended(self) -> None:
        """Wait until the run's task is done."""
        if self.task is not None:
            await asyncio.wait([self.task])

    def attach(
        self, *, after_index: int | None = None
    ) -> request_record.Attachment:
        """Return a new attachment, which replaces the older ones."""
        attachment = self.record.attach(after_index=after_index)
        self.attached += 1
        self.gone_s = None
        if self._grace_timer is not None:
            self._grace_timer.cancel()
            self._grace_timer = None
        self.wake()
        return attachment

    def detach(self, grace_s: float) -> None:
        """Remove an attachment whose connection has closed.

        If no attachment is left, the caller can reconnect within
        ``grace_s``. After that the run is cancelled, so that an answer
        without a receiver uses no engine memory.
        """
        self.attached -= 1
        if self.attached or self.record.end is not None:
            return
        self.gone_s = time.monotonic()
        loop = asyncio.get_running_loop()
        self._grace_timer = loop.call_later(
            grace_s, self._cancel_unless_attached
        )

    def await_caller(self, grace_s: float) -> None:
        """Cancel the run unless a caller attaches within ``grace_s``."""
        loop = asyncio.get_running_loop()
        self._grace_timer = loop.call_later(
            grace_s, self._cancel_unless_attached
        )

    async def close(self) -> None:
        """Mark, here and in the copy, that the end may be delivered.

        Otherwise, if this host were lost right after the last write, its
        successor would deliver a complete answer a second time.
        """
        if self.record.closing:
            return
        self.record.closing = True
        if self.before_end is not None:
            await self.before_end(self)

    def withhold_end(
        self, attachment: request_record.Attachment, end: RenderEnd
    ) -> None:
        """Keep the end of an answer back until `release_end`."""
        self._withheld = _WithheldEnd(attachment=attachment, render=end)

    async def release_end(self, number: int) -> bytes | None:
        """Return the withheld end, which counts as delivered from now on.

        Parameters
        ----------
        number : int
            Number of the attachment.

        Returns
        -------
        bytes or None
            None if the attachment is not the newest one, or has no end.
        """
        withheld = self._withheld
        if withheld is None or withheld.attachment.number != number:
            return None
        await self.close()
        if not self.record.is_current(withheld.attachment):
            return None
        self.record.mark_end_delivered(withheld.attachment)
        return withheld.render()

    def wake(self) -> None:
        """Wake all coroutines that wait in `wait_for_event`."""
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
        """Wait for an event at ``index``, the end or a newer attachment.

        Returns
        -------
        bool
            False if none of them occurred within ``timeout_s``.
        """
        loop = asyncio.get_running_loop()
        due_s = loop.time() + timeout_s
        while not self._has_update(attachment, index):
            waiter = loop.create_future()
            entry = due_s, waiter
            self._waiters.append(entry)
            if self._wait_timer is None:
                self._wait_timer = loop.call_at(due_s, self._expire_waits)
            try:
                timed_out = await waiter
            finally:
                if entry in self._waiters:
                    self._waiters.remove(entry)
            if timed_out:
                return self._has_update(attachment, index)
        return True

    def _expire_waits(self) -> None:
        """Wake the coroutines whose waits have timed out.

        All waits of a record share one timer, which is set again only
        after it has fired. A timer for each token would cost more than
        handling the token.
        """
        self._wait_timer = None
        loop = asyncio.get_running_loop()
        now_s = loop.time()
        for due_s, waiter in self._waiters:
            if due_s <= now_s and not waiter.done():
                waiter.set_result(True)
        pending = [due_s for due_s, _ in self._waiters if due_s > now_s]
        if pending:
            self._wait_timer = loop.call_at(min(pending), self._expire_waits)

    def _has_update(
        self, attachment: request_record.Attachment, index: int
    ) -> bool:
        record = self.record
        if len(record.events) > index or record.end is not None:
            return True
        return not record.is_current(attachment)

    def _cancel_unless_attached(self) -> None:
        self._grace_timer = None
        if not self.attached:
            self.cancel('caller_gone')
