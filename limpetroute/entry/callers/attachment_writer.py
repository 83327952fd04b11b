"""Writes a record's events to one caller's connection."""

import asyncio
import functools

import tornado.iostream
import tornado.web

from limpetroute.entry.callers import answer_format
from limpetroute.entry.callers import end_status
from limpetroute.entry.records import live_record
from limpetroute.peers import request_record
from limpetroute.peers import run_end

# A comment line without an empty line after it. OpenAI's client keeps
# the last event's id, takes an empty line for an event without data,
# and fails.
KEEP_ALIVE = b': keep-alive\n'
DONE = b'data: [DONE]\n\n'


class AttachmentWriter:
    """Streams a record to one attachment.

    The stream stops at the record's end, when a newer attachment
    replaces this one, or when the caller is lost. About
    ``max_buffer_bytes`` are written before the connection has taken the
    previous ones, which bounds the memory that a slow caller uses. The
    other events stay in the record, which keeps them for a resume.

    Parameters
    ----------
    handler : RequestHandler
        The caller's connection.
    live : LiveRecord
        The record.
    attachment : Attachment
        The attachment of this connection.
    write_stall_s : float
        Longest time that a write may wait for the caller to read.
    keep_alive_s : float
        Time without an event after which a comment is written. Comments
        keep proxies from closing the connection, and reveal dead
        connections, because writes to them stall.
    max_buffer_bytes : int
        Size at which a batch of events is written.
    withholds_end : bool
        Whether to leave the end to `LiveRecord.release_end`.
    """

    __slots__ = (
        '_attachment',
        '_handler',
        '_keep_alive_s',
        '_live',
        '_max_buffer_bytes',
        '_prefix',
        '_withholds_end',
        '_write_stall_s',
    )

    def __init__(
        self,
        *,
        handler: tornado.web.RequestHandler,
        live: live_record.LiveRecord,
        attachment: request_record.Attachment,
        write_stall_s: float,
        keep_alive_s: float,
        max_buffer_bytes: int,
        withholds_end: bool,
    ) -> None:
        self._handler = handler
        self._live = live
        self._attachment = attachment
        self._write_stall_s = write_stall_s
        self._keep_alive_s = keep_alive_s
        self._max_buffer_bytes = max_buffer_bytes
        self._withholds_end = withholds_end
        self._prefix = f'id: {live.record.run_id}-'.encode()

    def __repr__(self) -> str:
        return f'{type(self).__name__}(live={self._live!r})'

    async def run(self) -> bool:
        """Write the stream; return whether all of it was written."""
        try:
            return await self._run()
        except (tornado.iostream.StreamClosedError, TimeoutError):
            return False

    async def _run(self) -> bool:
        live = self._live
        record = live.record
        attachment = self._attachment
        index = attachment.next_index
        while True:
            woken = await live.wait_for_event(
                attachment, index, self._keep_alive_s
            )
            if not record.is_current(attachment):
                return False
            if not woken:
                await self._write(KEEP_ALIVE)
                continue
            if index == len(record.events):
                break
            batch, index = self._batch(index)
            await self._write(batch)
            record.mark_delivered(attachment, index - 1)
        assert record.end is not None
        if self._withholds_end:
            render = functools.partial(self._ending, record.end)
            live.withhold_end(attachment, render)
            return True
        await live.close()
        if not record.is_current(attachment):
            return False
        await self._write(self._ending(record.end))
        record.mark_end_delivered(attachment)
        return record.is_current(attachment)

    def _batch(self, index: int) -> tuple[bytes, int]:
        shape = self._live.shape
        events = self._live.record.events
        parts = []
        size = 0
        while index < len(events) and size < self._max_buffer_bytes:
            body = shape.chunk(events[index], first=index == 0)
            part = b'%s%d\ndata: %s\n\n' % (self._prefix, index, body)
            parts.append(part)
            size += len(part)
            index += 1
        return b''.join(parts), index

    def _ending(self, end: run_end.RunEnd) -> bytes:
        if end.kind is not run_end.EndKind.COMPLETED:
            body = answer_format.error_body(
                end_status.message_of(end),
                'server_error',
                end_status.code_of(end),
                outcome=str(end.kind),
                retry_after_s=end.retry_after_s,
            )
            return b'data: %s\n\n' % answer_format.encode(body)
        shape = self._live.shape
        parts = [b'data: %s\n\n' % shape.last_chunk(end)]
        if self._live.include_usage:
            parts.append(b'data: %s\n\n' % shape.usage_chunk(end))
        parts.append(DONE)
        return b''.join(parts)

    async def _write(self, data: bytes) -> None:
        self._handler.write(data)
        written = self._handler.flush()
        if written.done():
            written.result()
            return
        async with asyncio.timeout(self._write_stall_s):
            await written
