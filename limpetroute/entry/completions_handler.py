"""``POST /v1/completions`` and ``POST /v1/chat/completions``."""

import asyncio
import typing

from limpetroute.border import completion_body
from limpetroute.border import errors
from limpetroute.entry import answer_format
from limpetroute.entry import attachment_writer
from limpetroute.entry import base_handler
from limpetroute.entry import host as host_module
from limpetroute.entry import live_record
from limpetroute.entry import run_request
from limpetroute.peers import request_record
from limpetroute.peers import run_end


class CompletionsHandler(base_handler.BaseHandler):
    """Starts a run, or attaches to the one its key names."""

    def initialize(  # type: ignore[override]
        self, host: host_module.Host, chat: bool
    ) -> None:
        """Take the shared state and the shape wanted."""
        super().initialize(host)
        self._chat = chat
        self._live: live_record.LiveRecord | None = None

    async def post(self) -> None:
        """Answer one request."""
        model: type[typing.Any] = completion_body.CompletionBody
        if self._chat:
            model = completion_body.ChatBody
        try:
            body = errors.parse(model, self.request.body)
        except errors.InvalidInputError as exc:
            self.fail(400, str(exc), code='invalid_body')
            return
        if not self.host.ready:
            self.fail(503, 'draining', code='draining', retry_after_s=1)
            return
        live = self._find_or_start(body)
        if live is None:
            return
        attachment = live.record.attach()
        live.wake()
        self._live = live
        live.attached += 1
        try:
            await self._answer(body, live, attachment)
        finally:
            live.attached -= 1

    def on_connection_close(self) -> None:
        """Cancel the run when nobody waits for it after the grace."""
        live = self._live
        if live is None or live.record.end is not None:
            return
        loop = asyncio.get_running_loop()
        grace_s = self.host.settings.resume_grace_s
        loop.call_later(grace_s, _cancel_unless_attached, live)

    def _find_or_start(
        self, body: completion_body.CompletionBody | completion_body.ChatBody
    ) -> live_record.LiveRecord | None:
        digest = host_module.digest(self.request.body)
        key = self.request.headers.get('Idempotency-Key')
        if key is not None:
            live = self.host.records.by_key(self.team, key)
            if live is not None:
                return self._repeat(live, digest)
        request_id = host_module.new_request_id()
        return self.host.submit(
            run_request.RunRequest(
                request_id=request_id,
                team=self.team,
                key=key or request_id,
                body_digest=digest,
                model=body.model,
                prompt=body.text(),
                max_tokens=body.token_limit(),
            )
        )

    def _repeat(
        self, live: live_record.LiveRecord, digest: str
    ) -> live_record.LiveRecord | None:
        if live.record.body_digest != digest:
            self.fail(
                422,
                'Idempotency-Key stands for another body',
                code='key_reused',
                param='Idempotency-Key',
            )
            return None
        if live.record.end_delivered:
            self.fail(
                409,
                'the whole answer was delivered',
                code='already_delivered',
                outcome='already_delivered',
            )
            return None
        return live

    async def _answer(
        self,
        body: completion_body.CompletionBody | completion_body.ChatBody,
        live: live_record.LiveRecord,
        attachment: request_record.Attachment,
    ) -> None:
        record = live.record
        shape = answer_format.AnswerFormat(
            request_id=record.request_id, model=body.model, chat=self._chat
        )
        self.set_header('Limpetroute-Request-Id', record.request_id)
        await live.wait_past(attachment, attachment.next_index)
        end = record.end
        if end is not None and end.kind is not run_end.EndKind.COMPLETED:
            if not record.events:
                record.mark_end_delivered(attachment)
                self.host.records.discard(live)
                self.fail_with_end(end)
                return
        if body.stream:
            await self._stream(body, live, attachment, shape)
            return
        await self._whole(live, attachment, shape)

    async def _stream(
        self,
        body: completion_body.CompletionBody | completion_body.ChatBody,
        live: live_record.LiveRecord,
        attachment: request_record.Attachment,
        shape: answer_format.AnswerFormat,
    ) -> None:
        self.set_header('Content-Type', 'text/event-stream')
        self.set_header('Cache-Control', 'no-store')
        options = body.stream_options
        writer = attachment_writer.AttachmentWriter(
            handler=self,
            live=live,
            attachment=attachment,
            shape=shape,
            include_usage=options is not None and options.include_usage,
            write_stall_s=self.host.settings.write_stall_s,
        )
        if await writer.run():
            self.finish()
            return
        self.request.connection.close()  # type: ignore[union-attr]

    async def _whole(
        self,
        live: live_record.LiveRecord,
        attachment: request_record.Attachment,
        shape: answer_format.AnswerFormat,
    ) -> None:
        record = live.record
        while record.end is None and record.is_current(attachment):
            await live.wait_past(attachment, len(record.events))
        if not record.is_current(attachment):
            self.fail(
                409,
                'a newer connection took this request over',
                code='attached_elsewhere',
                outcome='unknown',
            )
            return
        end = record.end
        assert end is not None
        if end.kind is not run_end.EndKind.COMPLETED:
            self.fail_with_end(end)
            return
        self.set_header('Limpetroute-Outcome', str(end.kind))
        self.set_header('Content-Type', 'application/json')
        self.write(answer_format.encode(shape.whole(record.text, end)))
        await self.finish()
        record.mark_delivered(attachment, len(record.events) - 1)
        record.mark_end_delivered(attachment)


def _cancel_unless_attached(live: live_record.LiveRecord) -> None:
    if live.attached or live.task is None:
        return
    live.task.cancel()
