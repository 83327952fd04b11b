"""Sends a prompt to a prefill runner."""

import asyncio
import dataclasses
import logging

from limpetroute.forwarding import caller_request
from limpetroute.forwarding import dialect as dialect_module
from limpetroute.forwarding import forward_context
from limpetroute.forwarding import response_reader
from limpetroute.forwarding import runner_call
from limpetroute.routing import next_step
from limpetroute.routing import route as route_module
from limpetroute.routing import runner_info
from limpetroute.routing import send_result
from limpetroute.wire import call_failed
from limpetroute.wire import caller
from limpetroute.wire import drop_reason

LOG = logging.getLogger(__name__)

# A handle expires by itself after half a second, so a longer call to free
# it is pointless.
FREE_TIMEOUT_S = 0.5
# A faulty runner may reply without end.
MAX_FREE_REPLY_BYTES = 1 << 16
# A prefill runner processes 50 tokens per millisecond, and some prompts
# queue behind others. A runner that takes longer than the slack plus the
# time at the slowest rate is unresponsive; callers that waited for it
# would leave without an event.
PREFILL_SLACK_S = 0.6
SLOWEST_TOKENS_PER_S = 25_000.0
# Time that a decode runner needs to fetch a KV cache before it expires.
FETCH_MARGIN_S = 0.1


@dataclasses.dataclass(kw_only=True, slots=True)
class PrefilledPrompt:
    """A prompt's KV cache at a prefill runner.

    ``taken`` is set once the cache needs no freeing: a decode runner
    accepted the request that fetches it, or a call to free it was made.
    After ``expires_s`` it is too late to fetch it.
    """

    runner: runner_info.RunnerInfo
    source: dialect_module.KvSource
    tokens: int
    expires_s: float
    taken: bool = False


class PromptPrefill:
    """Sends a prompt to a prefill runner.

    Parameters
    ----------
    context : ForwardContext
        Shared state of the forwarder.
    request : CallerRequest
        The caller's request.
    route : Route
        Its route.
    result_ttl_s : float
        Time after which a prefill runner drops an unused KV cache.
    """

    def __init__(
        self,
        *,
        context: forward_context.ForwardContext,
        request: caller_request.CallerRequest,
        route: route_module.Route,
        result_ttl_s: float,
    ) -> None:
        self._context = context
        self._request = request
        self._route = route
        self._result_ttl_s = result_ttl_s
        self._prefilled: PrefilledPrompt | None = None

    def __repr__(self) -> str:
        return f'{type(self).__name__}(prefilled={self._prefilled!r})'

    @property
    def unused(self) -> PrefilledPrompt | None:
        """KV cache that a decode runner can still fetch, or None.

        A decode runner that refuses a stream does not fetch the cache, so
        another one may.
        """
        prefilled = self._prefilled
        if prefilled is None or prefilled.taken:
            return None
        return prefilled if _now_s() < prefilled.expires_s else None

    async def run(
        self, runner: runner_info.RunnerInfo
    ) -> PrefilledPrompt | response_reader.SendFailure:
        """Prefill the prompt and return its KV cache, or why that failed.

        After a failure the caller has to request a new placement, because
        the scheduler has to plan for a decode runner that prefills by
        itself.
        """
        self.free_unless_taken()
        context = self._context
        generation = self._request.generation
        tokens = generation.prompt_tokens if generation else 0
        load = context.view.load(runner.runner_id)
        load.requests += 1
        load.tokens += tokens
        try:
            return await self._prefill(runner, tokens)
        finally:
            load.requests -= 1
            load.tokens -= tokens

    def free_unless_taken(self) -> None:
        """Free the KV cache if no decode runner has taken it.

        Otherwise the KV cache of a caller that is gone or was refused
        would occupy memory of the prefill runner until it expires.
        """
        prefilled = self._prefilled
        if prefilled is None or prefilled.taken:
            return
        prefilled.taken = True
        self._context.run_in_background(self._free(prefilled))

    async def _prefill(
        self, runner: runner_info.RunnerInfo, tokens: int
    ) -> PrefilledPrompt | response_reader.SendFailure:
        context = self._context
        started_s = _now_s()
        call = context.new_call(
            runner,
            may_reuse=bool(self._request.request_id),
            is_repeatable=True,
        )
        remaining_s = context.remaining_s(self._request, self._route)
        max_prefill_s = PREFILL_SLACK_S + tokens / SLOWEST_TOKENS_PER_S
        options = dialect_module.SendOptions(
            remaining_s=min(remaining_s, max_prefill_s),
            runner_id=runner.runner_id,
            prefill_only=True,
            priority=context.run_priority(
                self._request, self._route, runner.service
            ),
        )
        handle = ''
        try:
            with context.log_if_cancelled(
                self._request, runner, part='prefill'
            ):
                failed = await call.open(self._request, options)
                context.note_rate_limit(call)
                if failed is None:
                    handle, failed = await self._read_handle(call)
        finally:
            call.release()
        if failed and failed.result is send_result.SendResult.BROKEN:
            await context.report_if_crashed(
                self._request, runner, answer_begun=False
            )
        load = context.view.load(runner.runner_id)
        if failed is None:
            load.note_success(_now_s() - started_s)
        elif (
            failed.result is not send_result.SendResult.REFUSED
            and not failed.result.is_backoff
        ):
            load.note_failure(_now_s())
            context.connections.drop(runner, drop_reason.DropReason.FAILED)
        context.log_send(
            self._request,
            runner=runner,
            result=(
                failed.result if failed else send_result.SendResult.ANSWERED
            ),
            step=next_step.Step.RETRY,
            took_s=_now_s() - started_s,
            detail=failed.detail if failed else f'{tokens} tokens',
            part='prefill',
            is_reused=call.is_reused,
        )
        if failed is not None:
            return failed
        self._prefilled = PrefilledPrompt(
            runner=runner,
            source=dialect_module.KvSource(
                address=runner.address, handle=handle
            ),
            tokens=tokens,
            expires_s=_now_s() + self._result_ttl_s - FETCH_MARGIN_S,
        )
        return self._prefilled

    async def _read_handle(
        self, call: runner_call.RunnerCall
    ) -> tuple[str, response_reader.SendFailure | None]:
        with self._context.answer_buffers.lease() as lease:
            body = await call.read(
                self._context.remaining_s(self._request, self._route), lease
            )
        if isinstance(body, response_reader.SendFailure):
            return '', body
        if call.status >= response_reader.HTTP_SERVER_ERROR:
            return '', response_reader.SendFailure(
                result=send_result.SendResult.FAILED,
                detail=f'status {call.status}',
            )
        try:
            return self._context.dialect.read_handle(body), None
        except ValueError as exc:
            return '', response_reader.SendFailure(
                result=send_result.SendResult.BROKEN, detail=str(exc)
            )

    async def _free(self, prefilled: PrefilledPrompt) -> None:
        if not self._context.monitor.accepts(prefilled.runner):
            # The runner accepts no requests from this host, so the cache
            # expires by itself.
            return
        free_call = self._context.dialect.free_handle_call(
            prefilled.source.handle, prefilled.runner.runner_id
        )
        reply = await caller.Caller().call(
            method=free_call.method,
            url=f'http://{prefilled.runner.address}{free_call.path}',
            headers=free_call.headers,
            timeout_s=FREE_TIMEOUT_S,
            max_reply_bytes=MAX_FREE_REPLY_BYTES,
        )
        ok = not isinstance(reply, call_failed.CallFailed) and reply.ok
        LOG.info(
            'unused KV cache freed',
            extra={
                'request': self._request.request_id,
                'runner': prefilled.runner.runner_id,
                'tokens': prefilled.tokens,
                'outcome': 'freed' if ok else 'expires by itself',
            },
        )


def _now_s() -> float:
    return asyncio.get_running_loop().time()
