"""``POST /v1/completions`` and ``POST /v1/chat/completions``."""

import http
import typing

from limpetroute.border import caller_body
from limpetroute.border import completion_body
from limpetroute.border import errors
from limpetroute.decisions import prefix
from limpetroute.entry.callers import answer_handler
from limpetroute.entry.callers import event_id
from limpetroute.entry.hosting import host as host_module
from limpetroute.entry.records import live_record
from limpetroute.entry.runs import run_request
from limpetroute.peers import run_end

# The official client libraries send this header with each retry.
RETRY_COUNT_HEADER = 'x-stainless-retry-count'
MAX_COUNT_DIGITS = 9

Body = completion_body.CompletionBody | completion_body.ChatBody


class CompletionsHandler(answer_handler.AnswerHandler):
    """Starts a run, or attaches to the existing one under the key."""

    def initialize(  # type: ignore[override]
        self, host: host_module.Host, chat: bool
    ) -> None:
        """Keep the shared state and the API variant."""
        super().initialize(host)
        self._chat = chat

    async def post(self) -> None:
        """Start, repeat or resume a request."""
        if not self.body_is_whole() or not self.authenticate():
            return
        model: type[typing.Any] = completion_body.CompletionBody
        if self._chat:
            model = completion_body.ChatBody
        try:
            body, digest = caller_body.read(model, self.body)
        except errors.InvalidInputError as exc:
            self.fail(400, str(exc), code='invalid_body')
            return
        last_event_id = self.request.headers.get('Last-Event-ID')
        if last_event_id is not None:
            await self._resume(body, digest, last_event_id)
            return
        live = await self._find_or_start(body, digest)
        if live is not None:
            await self.answer(live, stream=body.stream, after_index=None)

    async def _resume(
        self, body: Body, digest: str, last_event_id: str
    ) -> None:
        found = event_id.parse(last_event_id)
        if found is None:
            self._fail_event_id(last_event_id)
            return
        run_id, index = found
        if await self.relay(run_id=run_id, body=self.body):
            return
        live = self.host.records.by_run(self.team, run_id)
        if live is None:
            self.fail(
                http.HTTPStatus.CONFLICT,
                'that answer is no longer held; '
                'start over without Last-Event-ID',
                code='start_over',
                param='Last-Event-ID',
            )
            return
        if self._refuse_other_body(live, digest):
            return
        if index >= len(live.record.events):
            self._fail_event_id(last_event_id)
            return
        await self.answer(live, stream=body.stream, after_index=index)

    async def _find_or_start(
        self, body: Body, digest: str
    ) -> live_record.LiveRecord | None:
        key = self.key
        if key is None:
            # A caller that disconnects before it received the request id
            # cannot resume the request.
            self._grace_s = 0.0
            return self._start(body, digest, None)
        if not self.has_valid_key():
            return None
        if await self.relay(key=key, body=self.body):
            return None
        try:
            if self._caller_gone:
                return None
            return self._find_or_start_here(body, digest, key)
        finally:
            self.settle(key)

    def _find_or_start_here(
        self, body: Body, digest: str, key: str
    ) -> live_record.LiveRecord | None:
        # The key is looked up again, because another connection may have
        # started a request under it during `relay`.
        live = self.host.records.by_key(self.team, key)
        if live is None:
            return self._start(body, digest, key)
        if self._refuse_other_body(live, digest):
            return None
        return self._repeat(live, body, digest, key)

    def _start(
        self, body: Body, digest: str, key: str | None
    ) -> live_record.LiveRecord | None:
        if not self.host.ready:
            self.host.meters.refused('draining')
            self.fail(
                503, 'this host is draining', code='draining', retry_after_s=1
            )
            return None
        text = body.text()
        if self._refuse_model_or_prompt(body.model, text):
            return None
        request_id = host_module.new_request_id()
        return self.host.submit(
            run_request.RunRequest(
                request_id=request_id,
                team=self.team,
                key=key or request_id,
                body_digest=digest,
                model=body.model,
                prompt=text,
                max_tokens=body.token_limit(),
                chat=self._chat,
                include_usage=body.include_usage,
                returning=self._is_retry(),
                options=body.options,
            )
        )

    def _is_retry(self) -> bool:
        """Whether the client library marks the request as a retry.

        A caller that retries after ``Retry-After`` may reach another
        host, which can recognize the retry only by this header.
        """
        count = self.request.headers.get(RETRY_COUNT_HEADER, '0')
        return count.isdecimal() and int(count[:MAX_COUNT_DIGITS]) > 0

    def _refuse_model_or_prompt(self, model: str, text: str) -> bool:
        if not self.host.knows_model(model):
            self.host.meters.refused('unknown_model')
            self.fail(
                404,
                f'the model {model!r} does not exist',
                code='model_not_found',
                param='model',
            )
            return True
        limit = self.host.manifest_index.max_prompt_tokens(model)
        tokens = prefix.estimate_tokens(text.encode())
        if limit is None or tokens <= limit:
            return False
        self.host.meters.refused('too_long')
        self.fail(
            400,
            f'the prompt has about {tokens} tokens; '
            f'{model!r} takes at most {limit}',
            code='context_length_exceeded',
            param='messages' if self._chat else 'prompt',
        )
        return True

    def _refuse_other_body(
        self, live: live_record.LiveRecord, digest: str
    ) -> bool:
        if live.record.body_digest == digest:
            return False
        self.fail(
            422,
            'this key stands for another body',
            code='key_reused',
            param='Idempotency-Key',
        )
        return True

    def _repeat(
        self,
        live: live_record.LiveRecord,
        body: Body,
        digest: str,
        key: str,
    ) -> live_record.LiveRecord | None:
        record = live.record
        end = record.end
        if end is not None and end.kind is not run_end.EndKind.COMPLETED:
            # The earlier run has no complete answer, and a completion
            # has no side effects, so the repeat starts a new run.
            return self._start(body, digest, key)
        if not record.end_delivered:
            return live
        self.set_header('Limpetroute-Request-Id', record.request_id)
        self.fail(
            http.HTTPStatus.CONFLICT,
            'the whole answer was delivered; '
            f'read it again at /v1/requests/{record.request_id}/events',
            code='already_delivered',
            outcome='already_delivered',
        )
        return None

    def _fail_event_id(self, text: str) -> None:
        self.fail(
            400,
            f'Last-Event-ID: {text[:80]!r} names no event of this request',
            code='invalid_event_id',
            param='Last-Event-ID',
        )
