"""Runs one request from the queue to the end of its answer."""

import asyncio
import contextlib
import logging
import typing

from limpetroute.decisions import action
from limpetroute.decisions import stage
from limpetroute.decisions import work
from limpetroute.entry.records import live_record
from limpetroute.entry.records import outcome
from limpetroute.entry.runs import attempt as attempt_module
from limpetroute.entry.runs import attempt_resources
from limpetroute.entry.runs import decode_stream
from limpetroute.entry.runs import run_context
from limpetroute.entry.runs import run_request
from limpetroute.entry.runs import send_guard
from limpetroute.peers import run_end
from limpetroute.runners import engine_call
from limpetroute.runners import engine_client
from limpetroute.runners import engine_failure
from limpetroute.telemetry import hops

LOG = logging.getLogger(__name__)

INTERNAL_RETRY_AFTER_S = 1.0
RESUME_ELSEWHERE = 'draining_resume_elsewhere'
TAKEN_OVER = 'taken_over'
# Reasons to cancel a run here that another host may continue.
CONTINUED_ELSEWHERE = frozenset({RESUME_ELSEWHERE, TAKEN_OVER})
FAILURES = (engine_failure.Failed, engine_failure.Refused)
_Result = typing.TypeVar('_Result')


class RunTask:
    """Prefills, transfers and decodes one request; repeats failed steps.

    The router chooses the steps and their runners; the task carries
    them out and reports their results to the router.

    Parameters
    ----------
    request : RunRequest
        The caller's request.
    item : Work
        The request as the router sees it.
    live : LiveRecord
        Record to which the answer is appended.
    context : RunContext
        Collaborators of the run.
    prior_attempts : int
        Number of attempts that another host made before. Their run ids
        are in use.
    """

    __slots__ = (
        '_attempts',
        '_context',
        '_guard',
        '_item',
        '_live',
        '_request',
        '_resources',
        '_step_reported',
    )

    def __init__(
        self,
        *,
        request: run_request.RunRequest,
        item: work.Work,
        live: live_record.LiveRecord,
        context: run_context.RunContext,
        prior_attempts: int = 0,
    ) -> None:
        self._request = request
        self._item = item
        self._live = live
        self._context = context
        self._guard = send_guard.SendGuard()
        self._resources = attempt_resources.AttemptResources(
            live=live, context=context
        )
        self._step_reported = False
        self._attempts = prior_attempts
        if prior_attempts:
            # Another host has sent the request before, and the state of
            # that host's guard is lost. So nothing can prove that the
            # request did not run.
            self._guard.mark_sending()

    def __repr__(self) -> str:
        return f'{type(self).__name__}(work_id={self._item.work_id!r})'

    async def run(self) -> None:
        """Carry out the router's actions until the request has ended."""
        with self._context.hops.hop(
            'entry',
            request_id=self._item.work_id,
            model=self._item.model,
            prompt_tokens=self._item.prompt_tokens,
        ) as hop:
            await self._run()
            end = self._live.record.end
            if end is None or end.kind is not run_end.EndKind.COMPLETED:
                hop.fail(end.finish_reason if end else 'no end')

    async def _run(self) -> None:
        inbox = self._context.scheduler.offer(self._item)
        try:
            await self._run_actions(inbox)
        except asyncio.CancelledError:
            self._finish(self._cancelled())
        except Exception:  # noqa: BLE001 - an internal error ends the run
            LOG.exception('run %s broke', self._live.record.run_id)
            self._finish(
                outcome.given_up(
                    self._guard, 'internal', INTERNAL_RETRY_AFTER_S
                )
            )
        finally:
            self._close()

    def _cancelled(self) -> outcome.Outcome:
        reason = self._live.cancel_reason
        if reason not in CONTINUED_ELSEWHERE:
            return outcome.Cancelled(reason=reason)
        if self._live.handed_over:
            # Another host continues the request, even if this host had
            # only queued it. So the request may still run.
            return outcome.Unknown(
                reason=reason, retry_after_s=INTERNAL_RETRY_AFTER_S
            )
        return outcome.given_up(self._guard, reason, INTERNAL_RETRY_AFTER_S)

    def _close(self) -> None:
        end = self._live.record.end
        how = stage.Ending.FAILED
        if end is not None and end.kind is run_end.EndKind.COMPLETED:
            how = stage.Ending.COMPLETED
        if end is not None and end.kind is run_end.EndKind.CANCELLED:
            how = stage.Ending.CANCELLED
        self._context.scheduler.end(self._item.work_id, how)
        if how is stage.Ending.COMPLETED:
            self._resources.release()
            return
        if self._live.handed_over:
            return
        self._resources.free()

    async def _run_actions(
        self, inbox: 'asyncio.Queue[action.Action]'
    ) -> None:
        """Run one step at a time; a new action replaces the step."""
        step: asyncio.Task[None] | None = None
        queue_hop = hops.RepeatedHop(hops=self._context.hops, name='queue')
        queue_hop.begin()
        next_action = asyncio.ensure_future(inbox.get())
        try:
            while self._live.record.end is None:
                waiting: list[asyncio.Future[typing.Any]] = [next_action]
                if step is not None:
                    waiting.append(step)
                await asyncio.wait(
                    waiting, return_when=asyncio.FIRST_COMPLETED
                )
                if not next_action.done():
                    assert step is not None
                    step.result()
                    step = None
                    if self._live.record.end is None:
                        queue_hop.begin()
                    continue
                queue_hop.end()
                todo = next_action.result()
                next_action = asyncio.ensure_future(inbox.get())
                if step is not None:
                    await self._finish_step(step)
                    step = None
                if isinstance(todo, action.GiveUp):
                    self._give_up(todo)
                    continue
                self._step_reported = False
                step = asyncio.create_task(self._step(todo))
        finally:
            queue_hop.end()
            next_action.cancel()
            if step is not None:
                await _cancel_step(step)

    async def _finish_step(self, step: 'asyncio.Task[None]') -> None:
        """Wait for a step that has reported its result, or cancel it.

        The router chooses a new step for a request whose runner has
        become unresponsive while the old step still waits for that
        runner. Waiting for the old call to time out would delay the
        caller by the whole time limit.
        """
        if self._step_reported:
            await step
            return
        await _cancel_step(step)

    async def _step(
        self, todo: action.StartPrefill | action.StartDecode
    ) -> None:
        if isinstance(todo, action.StartPrefill):
            await self._prefill(todo)
            return
        await self._decode(todo)

    async def _prefill(self, todo: action.StartPrefill) -> None:
        if self._is_complete():
            self._complete('length', 0)
            return
        self._live.stage = stage.Stage.PREFILL
        attempt = self._new_attempt()
        engine = self._context.engines.get(todo.runner_id)
        if engine is None:
            self._failed(stage.Stage.PREFILL, todo.runner_id)
            return
        if todo.decode_runner_id is not None:
            if not await self._grant(todo.decode_runner_id, todo.kv_bytes):
                return
        self._note_sending(todo.runner_id, engine)
        result = await self._in_hop(
            'prefill',
            todo.runner_id,
            engine.prefill(
                engine_call.PrefillCall(
                    run_id=attempt.run_id,
                    model=self._request.model,
                    prompt=self._request.prompt + self._live.record.text,
                    priority=todo.priority,
                    fence=0,
                    latest_start_s=self._context.settings.prefill_timeout_s,
                ),
                timeout_s=self._context.settings.prefill_timeout_s,
            ),
        )
        if not isinstance(result, engine_call.PrefillResult):
            self._note_failure(result, todo.runner_id)
            self._resources.free()
            self._failed(stage.Stage.PREFILL, todo.runner_id)
            return
        attempt.source = engine
        attempt.source_id = todo.runner_id
        attempt.result = result
        self._step_reported = True
        self._context.scheduler.prefill_done(
            self._item.work_id, result.cached_tokens
        )

    async def _decode(self, todo: action.StartDecode) -> None:
        engine = self._context.engines.get(todo.runner_id)
        attempt = self._resources.attempt
        if engine is None or attempt is None:
            self._transfer_failed(todo.runner_id)
            return
        source, result = attempt.source, attempt.result
        if source is None or result is None:
            self._transfer_failed(todo.runner_id)
            return
        self._live.stage = stage.Stage.TRANSFER
        if not await self._grant(todo.runner_id, todo.kv_bytes):
            return
        if not self._context.grants.may_start(
            runner_id=todo.runner_id, work_id=attempt.run_id
        ):
            self._transfer_failed(todo.runner_id)
            return
        self._live.runner_id = todo.runner_id
        copying = asyncio.ensure_future(self._copy())
        self._note_sending(todo.runner_id, engine)
        imported = await self._in_hop(
            'transfer',
            todo.runner_id,
            engine.import_kv(
                engine_call.ImportCall(
                    run_id=attempt.run_id,
                    source_url=source.url,
                    handle=result.handle,
                    fence=attempt.fences.get(todo.runner_id, 0),
                ),
                timeout_s=self._transfer_timeout_s(todo),
            ),
        )
        if not isinstance(imported, int):
            LOG.debug('transfer of %s failed: %s', attempt.run_id, imported)
            self._note_failure(imported, todo.runner_id)
            self._resources.free_one(todo.runner_id)
            at_fault = todo.runner_id
            if _is_source_at_fault(imported):
                at_fault = attempt.source_id
            self._transfer_failed(at_fault)
            return
        self._context.scheduler.transfer_done(self._item.work_id)
        # The record is copied to another host during the transfer. No
        # event may reach the caller before the copy has arrived: if this
        # host were lost, no host could resume the answer from the run
        # id in the caller's event ids.
        await copying
        await self._run_decode(engine, todo.runner_id, attempt, result)

    def _transfer_timeout_s(self, todo: action.StartDecode) -> float:
        limit_s = self._context.settings.transfer_timeout_s
        if todo.transfer_timeout_s is None:
            return limit_s
        return min(limit_s, todo.transfer_timeout_s)

    async def _copy(self) -> None:
        if self._context.copy is not None:
            await self._context.copy(self._live)

    async def _run_decode(
        self,
        engine: engine_client.EngineClient,
        runner_id: str,
        attempt: attempt_module.Attempt,
        result: engine_call.PrefillResult,
    ) -> None:
        self._live.stage = stage.Stage.DECODE
        self._live.runner_id = runner_id
        call = engine_call.DecodeCall(
            run_id=attempt.run_id,
            model=self._request.model,
            max_tokens=self._request.max_tokens - attempt.start_index,
            priority=0,
            fence=attempt.fences.get(runner_id, 0),
            options=self._request.options,
        )
        stream = decode_stream.DecodeStream(
            call=call,
            engine=engine,
            live=self._live,
            max_events=self._request.max_tokens,
            context=self._context,
        )
        self._guard.mark_sending()
        end = await self._in_hop('decode', runner_id, stream.run())
        if isinstance(end, engine_call.EndEvent):
            self._complete(end.finish_reason, result.prompt_tokens)
            return
        if self._is_complete():
            # All tokens arrived; only the end event was lost.
            self._complete('length', result.prompt_tokens)
            return
        LOG.debug('decode of %s failed: %s', attempt.run_id, end)
        self._resources.free()
        self._failed(stage.Stage.DECODE, runner_id)

    async def _in_hop(
        self,
        name: str,
        runner_id: str,
        call: 'typing.Coroutine[typing.Any, typing.Any, _Result]',
    ) -> _Result:
        """Await a call to a runner inside a span."""
        with self._context.hops.hop(name, runner_id=runner_id) as hop:
            result = await call
            if isinstance(result, FAILURES):
                hop.fail(result.reason)
            return result

    def _is_complete(self) -> bool:
        return len(self._live.record.events) >= self._request.max_tokens

    def _new_attempt(self) -> attempt_module.Attempt:
        if self._attempts:
            self._context.meters.retried(str(self._live.stage))
        self._attempts += 1
        record = self._live.record
        return self._resources.start(
            attempt_module.Attempt(
                run_id=attempt_module.run_id_of(record.run_id, self._attempts),
                start_index=len(record.events),
            )
        )

    async def _grant(self, runner_id: str, kv_bytes: int) -> bool:
        """Acquire a grant; report a denial to the router."""
        free_slots = await self._resources.acquire(runner_id, kv_bytes)
        if free_slots is None:
            return True
        self._step_reported = True
        self._context.scheduler.denied(
            self._item.work_id, runner_id, free_slots
        )
        return False

    def _note_sending(
        self, runner_id: str, engine: engine_client.EngineClient
    ) -> None:
        self._guard.mark_sending()
        self._resources.note_sent(runner_id, engine)

    def _note_failure(
        self, failure: engine_failure.EngineFailure, runner_id: str
    ) -> None:
        refused = isinstance(failure, engine_failure.Refused)
        if refused or not failure.sent:  # type: ignore[union-attr]
            self._guard.mark_refused()
            self._resources.note_not_run(runner_id)

    def _transfer_failed(self, runner_id: str) -> None:
        self._failed(stage.Stage.TRANSFER, runner_id)
        # The router may transfer the prefill's KV cache to another
        # runner at once. Without such an action no runner will fetch the
        # cache, so it is freed.
        if not self._context.scheduler.has_action(self._item.work_id):
            self._resources.free()

    def _failed(self, at: stage.Stage, runner_id: str) -> None:
        self._live.stage = stage.Stage.QUEUED
        self._step_reported = True
        self._context.scheduler.failed(self._item.work_id, at, runner_id)

    def _give_up(self, todo: action.GiveUp) -> None:
        self._finish(
            outcome.given_up(self._guard, todo.reason, todo.retry_after_s)
        )

    def _complete(self, finish_reason: str, prompt_tokens: int) -> None:
        self._finish(
            outcome.Completed(
                finish_reason=finish_reason, prompt_tokens=prompt_tokens
            )
        )

    def _finish(self, result: outcome.Outcome) -> None:
        events = len(self._live.record.events)
        self._live.finish(outcome.as_run_end(result, events))


def _is_source_at_fault(failure: engine_failure.EngineFailure) -> bool:
    return (
        isinstance(failure, engine_failure.Refused)
        and failure.reason == engine_failure.NO_KV_CACHE
    )


async def _cancel_step(step: 'asyncio.Task[None]') -> None:
    step.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await step
