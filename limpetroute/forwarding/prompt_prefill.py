"""Has a prompt read by a prefill runner."""

import asyncio
import dataclasses
import logging

from limpetroute.forwarding import caller_request
from limpetroute.forwarding import dialect as dialect_module
from limpetroute.forwarding import forward_context
from limpetroute.forwarding import runner_call
from limpetroute.routing import next_step
from limpetroute.routing import route as route_module
from limpetroute.routing import runner_info
from limpetroute.routing import send_result
from limpetroute.wire import call_failed
from limpetroute.wire import caller

LOG = logging.getLogger(__name__)

# A handle lapses by itself after half a second; a call that frees it and
# takes longer has nothing left to do.
FREE_TIMEOUT_S = 0.5
# A prompt is read at 50 tokens a millisecond, some prompts wait for
# others. A runner that takes longer than this has gone dark; waited for,
# each of its callers would leave without an event.
READING_SLACK_S = 0.6
SLOWEST_TOKENS_PER_S = 25_000.0


@dataclasses.dataclass(kw_only=True, slots=True)
class PrefilledPrompt:
    """A prompt's KV cache at a prefill runner, until it is taken."""

    runner: runner_info.RunnerInfo
    source: dialect_module.KvSource
    tokens: int
    taken: bool = False


class PromptPrefill:
    """Has a prompt read by a prefill runner.

    Parameters
    ----------
    context : ForwardContext
        What all forwarding shares.
    request : CallerRequest
        The caller's request.
    route : Route
        Its route.
    """

    def __init__(
        self,
        *,
        context: forward_context.ForwardContext,
        request: caller_request.CallerRequest,
        route: route_module.Route,
    ) -> None:
        self._context = context
        self._request = request
        self._route = route
        self._reading: PrefilledPrompt | None = None

    def __repr__(self) -> str:
        return f'{type(self).__name__}(reading={self._reading!r})'

    async def run(
        self, runner: runner_info.RunnerInfo
    ) -> PrefilledPrompt | None:
        """Return where the KV cache is, or None if none was made.

        Without one, another place has to be asked for: whoever gives
        places has to plan for a decode runner that reads by itself.
        """
        context = self._context
        generation = self._request.generation
        tokens = generation.prompt_tokens if generation else 0
        load = context.view.load(runner.runner_id)
        load.requests += 1
        load.tokens += tokens
        try:
            return await self._call(runner, tokens)
        finally:
            load.requests -= 1
            load.tokens -= tokens

    def free_unless_taken(self) -> None:
        """Free the KV cache that no decode runner has taken.

        It would otherwise hold a prefill runner's memory until it
        lapses, for a caller that is gone or was refused.
        """
        reading = self._reading
        if reading is None or reading.taken:
            return
        reading.taken = True
        self._context.run_in_background(self._free(reading))

    async def _call(
        self, runner: runner_info.RunnerInfo, tokens: int
    ) -> PrefilledPrompt | None:
        context = self._context
        begun_s = _now_s()
        call = runner_call.RunnerCall(runner=runner, dialect=context.dialect)
        left_s = context.remaining_s(self._request, self._route)
        limit_s = READING_SLACK_S + tokens / SLOWEST_TOKENS_PER_S
        note = dialect_module.SendOptions(
            remaining_s=min(left_s, limit_s),
            runner_id=runner.runner_id,
            prefill_only=True,
        )
        handle = ''
        try:
            with context.log_if_cut(self._request, runner, part='prefill'):
                failed = await call.open(self._request, note)
                context.note_rate_limit(call)
                if failed is None:
                    handle, failed = await self._read_handle(call)
        finally:
            call.close()
        if failed and failed.result is send_result.SendResult.BROKEN:
            await context.report_if_crashed(self._request, runner, begun=False)
        load = context.view.load(runner.runner_id)
        if failed is None:
            load.note_success(_now_s() - begun_s)
        elif failed.result is not send_result.SendResult.REFUSED:
            load.note_failure(_now_s())
        context.log_send(
            self._request,
            runner=runner,
            result=(
                failed.result if failed else send_result.SendResult.ANSWERED
            ),
            step=next_step.Step.RETRY,
            took_s=_now_s() - begun_s,
            detail=failed.detail if failed else f'{tokens} tokens',
            part='prefill',
        )
        if failed is not None:
            return None
        self._reading = PrefilledPrompt(
            runner=runner,
            source=dialect_module.KvSource(
                address=runner.address, handle=handle
            ),
            tokens=tokens,
        )
        return self._reading

    async def _read_handle(
        self, call: runner_call.RunnerCall
    ) -> tuple[str, runner_call.SendFailure | None]:
        body = await call.read(
            self._context.remaining_s(self._request, self._route)
        )
        if isinstance(body, runner_call.SendFailure):
            return '', body
        if call.status >= runner_call.HTTP_SERVER_ERROR:
            return '', runner_call.SendFailure(
                result=send_result.SendResult.FAILED,
                detail=f'status {call.status}',
            )
        try:
            return self._context.dialect.read_handle(body), None
        except ValueError as exc:
            return '', runner_call.SendFailure(
                result=send_result.SendResult.BROKEN, detail=str(exc)
            )

    async def _free(self, reading: PrefilledPrompt) -> None:
        what = self._context.dialect.free_handle_call(
            reading.source.handle, reading.runner.runner_id
        )
        got = await caller.Caller().call(
            method=what.method,
            url=f'http://{reading.runner.address}{what.path}',
            headers=what.headers,
            timeout_s=FREE_TIMEOUT_S,
        )
        ok = not isinstance(got, call_failed.CallFailed) and got.ok
        LOG.info(
            'freed a prompt that was read in vain',
            extra={
                'request': self._request.request_id,
                'runner': reading.runner.runner_id,
                'tokens': reading.tokens,
                'outcome': 'freed' if ok else 'lapses by itself',
            },
        )


def _now_s() -> float:
    return asyncio.get_running_loop().time()
