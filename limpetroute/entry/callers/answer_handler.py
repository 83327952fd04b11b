"""Base handler that sends a record's answer to its connection."""

import functools
import http
import sys

import tornado.iostream

from limpetroute.entry.callers import answer_format
from limpetroute.entry.callers import attachment_writer
from limpetroute.entry.callers import base_handler
from limpetroute.entry.callers import body_handler
from limpetroute.entry.peering import peer_relay
from limpetroute.entry.records import live_record
from limpetroute.peers import request_record
from limpetroute.peers import run_end


class AnswerHandler(body_handler.BodyHandler):
    """Attaches to a record and sends the record's answer."""

    _live: live_record.LiveRecord | None = None
    _grace_s: float | None = None

    async def answer(
        self,
        live: live_record.LiveRecord,
        *,
        stream: bool,
        after_index: int | None,
    ) -> None:
        """Attach to a record, send its answer, then detach.

        Parameters
        ----------
        live : LiveRecord
            The record.
        stream : bool
            Whether the answer is streamed.
        after_index : int or None
            Index of the last event that the caller has; None starts
            with the first event.
        """
        if self._caller_gone:
            # The connection closed before the attachment existed, so
            # `on_connection_close` could not detach it. An attachment
            # made now would keep the run alive without a caller.
            return
        last_index = -1 if after_index is None else after_index
        attachment = live.attach(after_index=last_index)
        self._live = live
        self._attached = True
        self.set_header('Limpetroute-Request-Id', live.record.request_id)
        try:
            if stream:
                await self._send_stream(live, attachment)
            else:
                await self._send_whole(live, attachment)
        finally:
            self._detach()

    def on_connection_close(self) -> None:
        """Detach, which starts the grace period for a resume."""
        super().on_connection_close()
        self._detach()

    def _detach(self) -> None:
        live, self._live = self._live, None
        if live is None:
            return
        grace_s = self._grace_s
        if grace_s is None or self._headers_written:
            grace_s = self.host.settings.resume_grace_s
        live.detach(grace_s)

    async def _send_stream(
        self,
        live: live_record.LiveRecord,
        attachment: request_record.Attachment,
    ) -> None:
        settings = self.host.settings
        record = live.record
        # Until the first event or keep-alive is sent, a refusal can still
        # be answered with its own HTTP status.
        await live.wait_for_event(
            attachment, attachment.next_index, settings.keep_alive_s
        )
        end = record.end
        if end is not None and self._is_refusal(end, attachment, record):
            record.mark_end_delivered(attachment)
            self.fail_with_end(end)
            return
        outcome = base_handler.PENDING if end is None else str(end.kind)
        self.set_header('Limpetroute-Outcome', outcome)
        self.set_header('Content-Type', 'text/event-stream')
        self.set_header('Cache-Control', 'no-store')
        self.set_header('X-Accel-Buffering', 'no')
        self._name_attachment(attachment)
        writer = attachment_writer.AttachmentWriter(
            handler=self,
            live=live,
            attachment=attachment,
            write_stall_s=settings.write_stall_s,
            keep_alive_s=settings.keep_alive_s,
            max_buffer_bytes=settings.max_buffer_bytes,
            withholds_end=self._withholds_end,
        )
        if await writer.run():
            self.finish()
            return
        self._abort_connection()

    @staticmethod
    def _is_refusal(
        end: run_end.RunEnd,
        attachment: request_record.Attachment,
        record: request_record.RequestRecord,
    ) -> bool:
        if end.kind is run_end.EndKind.COMPLETED:
            return False
        return attachment.next_index == len(record.events) == 0

    async def _send_whole(
        self,
        live: live_record.LiveRecord,
        attachment: request_record.Attachment,
    ) -> None:
        record = live.record
        while record.end is None and record.is_current(attachment):
            await live.wait_for_event(
                attachment, sys.maxsize, self.host.settings.keep_alive_s
            )
        if not record.is_current(attachment):
            self.fail(
                http.HTTPStatus.CONFLICT,
                'a newer connection took this request over',
                code='attached_elsewhere',
                outcome='unknown',
            )
            return
        end = record.end
        assert end is not None
        if end.kind is not run_end.EndKind.COMPLETED:
            record.mark_end_delivered(attachment)
            self.fail_with_end(end)
            return
        if not self._withholds_end:
            await live.close()
        if not record.is_current(attachment):
            self._abort_connection()
            return
        self.set_header('Limpetroute-Outcome', str(end.kind))
        self.set_header('Content-Type', 'application/json')
        if self._withholds_end:
            self._name_attachment(attachment)
            render = functools.partial(_whole_body, live, end)
            live.withhold_end(attachment, render)
            await self.finish()
            return
        self.write(_whole_body(live, end))
        try:
            await self.finish()
        except tornado.iostream.StreamClosedError:
            return
        record.mark_delivered(attachment, len(record.events) - 1)
        record.mark_end_delivered(attachment)

    @property
    def _withholds_end(self) -> bool:
        return (
            self.is_relayed
            and peer_relay.WITHHOLD_HEADER in self.request.headers
        )

    def _name_attachment(self, attachment: request_record.Attachment) -> None:
        if self._withholds_end:
            self.set_header(
                peer_relay.ATTACHMENT_HEADER, str(attachment.number)
            )

    def _abort_connection(self) -> None:
        """Close the connection without ending the stream properly.

        The caller's library then reports a broken stream instead of
        taking a truncated answer for a complete one.
        """
        stream = self.request.connection.stream  # type: ignore[union-attr]
        stream.close()


def _whole_body(live: live_record.LiveRecord, end: run_end.RunEnd) -> bytes:
    return answer_format.encode(live.shape.whole(live.record.text, end))
