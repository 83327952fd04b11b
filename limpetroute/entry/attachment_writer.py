"""Writes a record's events to one caller's connection."""

import asyncio

import tornado.iostream
import tornado.web

from limpetroute.entry import answer_format
from limpetroute.entry import live_record
from limpetroute.peers import request_record
from limpetroute.peers import run_end


class AttachmentWriter:
    """Streams one attachment until its end, a fence or a lost caller.

    Parameters
    ----------
    handler : RequestHandler
        The caller's connection.
    live : LiveRecord
        The record.
    attachment : Attachment
        The attachment this connection holds.
    shape : AnswerFormat
        Shape of the chunks.
    include_usage : bool
        Whether the caller asked for usage at the end.
    write_stall_s : float
        Longest time a write may wait for the caller to read.
    """

    __slots__ = (
        '_attachment',
        '_handler',
        '_include_usage',
        '_live',
        '_shape',
        '_write_stall_s',
    )

    def __init__(
        self,
        *,
        handler: tornado.web.RequestHandler,
        live: live_record.LiveRecord,
        attachment: request_record.Attachment,
        shape: answer_format.AnswerFormat,
        include_usage: bool,
        write_stall_s: float,
    ) -> None:
        self._handler = handler
        self._live = live
        self._attachment = attachment
        self._shape = shape
        self._include_usage = include_usage
        self._write_stall_s = write_stall_s

    async def run(self) -> bool:
        """Write until the end; return whether the caller got it all."""
        record = self._live.record
        index = self._attachment.next_index
        try:
            while True:
                await self._live.wait_past(self._attachment, index)
                if not record.is_current(self._attachment):
                    return False
                upto = len(record.events)
                if index == upto:
                    break
                for place in range(index, upto):
                    self._write_event(place)
                await self._flush()
                index = upto
                record.mark_delivered(self._attachment, index - 1)
            assert record.end is not None
            self._write_end(record.end)
            await self._flush()
            record.mark_end_delivered(self._attachment)
            return True
        except (tornado.iostream.StreamClosedError, TimeoutError):
            return False

    def _write_event(self, place: int) -> None:
        record = self._live.record
        body = self._shape.chunk(record.events[place], first=place == 0)
        self._handler.write(
            b'id: %s-%d\ndata: %s\n\n' % (record.run_id.encode(), place, body)
        )

    def _write_end(self, end: run_end.RunEnd) -> None:
        if end.kind is not run_end.EndKind.COMPLETED:
            body = answer_format.error_body(
                f'the request ended as {end.kind}: {end.finish_reason}',
                'server_error',
                end.finish_reason,
            )
            self._handler.write(b'data: %s\n\n' % answer_format.encode(body))
            return
        last = self._shape.last_chunk(end)
        self._handler.write(b'data: %s\n\n' % last)
        if self._include_usage:
            used = self._shape.usage_chunk(end)
            self._handler.write(b'data: %s\n\n' % used)
        self._handler.write(b'data: [DONE]\n\n')

    async def _flush(self) -> None:
        async with asyncio.timeout(self._write_stall_s):
            await self._handler.flush()
