"""Takes one request from the queue to the end of its answer."""

import asyncio
import logging

from limpetroute.border import entry_settings
from limpetroute.decisions import action
from limpetroute.decisions import stage
from limpetroute.decisions import work
from limpetroute.entry import grants as grants_module
from limpetroute.entry import live_record
from limpetroute.entry import run_request
from limpetroute.entry import scheduler as scheduler_module
from limpetroute.entry import send_guard
from limpetroute.peers import run_end
from limpetroute.runners import engine_call
from limpetroute.runners import engine_client
from limpetroute.runners import engine_failure
from limpetroute.runners import engine_pool

LOG = logging.getLogger(__name__)

CANCEL_TIMEOUT_S = 2.0


class RunTask:
    """One run: prefill, transfer, decode.

    Parameters
    ----------
    request : RunRequest
        What the caller asked for.
    item : Work
        The same, as the router sees it.
    live : LiveRecord
        Where the answer goes.
    scheduler : Scheduler
        Decides what happens next.
    engines : EnginePool
        Clients of the runners.
    grants : GrantSource
        Room at the runners.
    settings : EntrySettings
        Time limits.
    """

    __slots__ = (
        '_engines',
        '_grants',
        '_guard',
        '_item',
        '_live',
        '_request',
        '_scheduler',
        '_settings',
        '_touched',
        '_prefilled',
    )

    def __init__(
        self,
        *,
        request: run_request.RunRequest,
        item: work.Work,
        live: live_record.LiveRecord,
        scheduler: scheduler_module.Scheduler,
        engines: engine_pool.EnginePool,
        grants: grants_module.GrantSource,
        settings: entry_settings.EntrySettings,
    ) -> None:
        self._request = request
        self._item = item
        self._live = live
        self._scheduler = scheduler
        self._engines = engines
        self._grants = grants
        self._settings = settings
        self._guard = send_guard.SendGuard()
        self._touched: dict[str, engine_client.EngineClient] = {}
        self._prefilled: (
            tuple[engine_client.EngineClient, engine_call.PrefillResult] | None
        ) = None

    def __repr__(self) -> str:
        return f'{type(self).__name__}(work_id={self._item.work_id!r})'

    async def run(self) -> None:
        """Carry the router's actions out until the request is over."""
        work_id = self._item.work_id
        inbox = self._scheduler.offer(self._item)
        how = stage.Ending.FAILED
        try:
            while self._live.record.end is None:
                await self._step(await inbox.get())
            if self._live.record.end.kind is run_end.EndKind.COMPLETED:
                how = stage.Ending.COMPLETED
        except asyncio.CancelledError:
            how = stage.Ending.CANCELLED
            self._finish(run_end.EndKind.CANCELLED, 'caller_gone')
            raise
        finally:
            self._scheduler.end(work_id, how)
            await asyncio.shield(self._free_runners(how))

    async def _step(self, todo: action.Action) -> None:
        if isinstance(todo, action.StartPrefill):
            await self._prefill(todo)
            return
        if isinstance(todo, action.StartDecode):
            await self._decode(todo)
            return
        self._give_up(todo)

    async def _prefill(self, todo: action.StartPrefill) -> None:
        work_id = self._item.work_id
        engine = self._engines.get(todo.runner_id)
        if engine is None:
            self._failed(stage.Stage.PREFILL, todo.runner_id)
            return
        fence = 0
        if todo.decode_runner_id is not None:
            room = await self._grants.acquire(
                runner_id=todo.decode_runner_id,
                work_id=work_id,
                kv_bytes=todo.kv_bytes,
            )
            if isinstance(room, grants_module.Denied):
                self._scheduler.denied(
                    work_id, todo.decode_runner_id, room.free_slots
                )
                return
            fence = room.fence
        self._guard.mark_sending()
        self._touched[todo.runner_id] = engine
        got = await engine.prefill(
            engine_call.PrefillCall(
                run_id=self._live.record.run_id,
                model=self._request.model,
                prompt=self._request.prompt + self._live.record.text,
                priority=0,
                fence=fence,
                latest_start_s=self._settings.prefill_timeout_s,
            ),
            timeout_s=self._settings.prefill_timeout_s,
        )
        if not isinstance(got, engine_call.PrefillResult):
            self._note(got)
            if todo.decode_runner_id is not None:
                self._grants.release(
                    runner_id=todo.decode_runner_id, work_id=work_id
                )
            self._failed(stage.Stage.PREFILL, todo.runner_id)
            return
        self._prefilled = (engine, got)
        self._scheduler.prefill_done(work_id, got.cached_tokens)

    async def _decode(self, todo: action.StartDecode) -> None:
        engine = self._engines.get(todo.runner_id)
        if engine is None or self._prefilled is None:
            self._failed(stage.Stage.TRANSFER, todo.runner_id)
            return
        source, result = self._prefilled
        run_id = self._live.record.run_id
        self._touched[todo.runner_id] = engine
        moved = await engine.import_kv(
            engine_call.ImportCall(
                run_id=run_id,
                source_url=source.url,
                handle=result.handle,
                fence=0,
            ),
            timeout_s=self._settings.transfer_timeout_s,
        )
        if not isinstance(moved, int):
            LOG.debug('transfer of %s failed: %s', run_id, moved)
            self._failed(stage.Stage.TRANSFER, todo.runner_id)
            return
        self._scheduler.transfer_done(self._item.work_id)
        failure = await self._stream(engine, result.prompt_tokens)
        if failure is None:
            return
        LOG.debug('decode of %s failed: %s', run_id, failure)
        self._failed(stage.Stage.DECODE, todo.runner_id)

    async def _stream(
        self, engine: engine_client.EngineClient, prompt_tokens: int
    ) -> engine_failure.EngineFailure | None:
        record = self._live.record
        base = len(record.events)
        events = engine.decode(
            engine_call.DecodeCall(
                run_id=record.run_id,
                model=self._request.model,
                max_tokens=self._request.max_tokens - base,
                priority=0,
                fence=0,
            ),
            token_timeout_s=self._settings.token_timeout_s,
        )
        async for event in events:
            if isinstance(event, engine_call.TokenEvent):
                # An event that comes late or twice is already here.
                if base + event.index < len(record.events):
                    continue
                if base + event.index > len(record.events):
                    return engine_failure.Failed(reason='gap', sent=True)
                self._live.append(event.text)
                self._scheduler.tokens(self._item.work_id, 1)
                continue
            if isinstance(event, engine_call.EndEvent):
                self._live.finish(
                    run_end.RunEnd(
                        kind=run_end.EndKind.COMPLETED,
                        finish_reason=event.finish_reason,
                        prompt_tokens=prompt_tokens,
                        completion_tokens=len(record.events),
                    )
                )
                return None
            return event
        return engine_failure.Failed(reason='stream closed', sent=True)

    def _note(self, failure: engine_failure.EngineFailure) -> None:
        if isinstance(failure, engine_failure.Refused):
            self._guard.mark_refused()
            return
        if not failure.sent:
            self._guard.mark_refused()

    def _failed(self, at: stage.Stage, runner_id: str) -> None:
        self._scheduler.failed(self._item.work_id, at, runner_id)

    def _give_up(self, todo: action.GiveUp) -> None:
        if self._guard.not_run_proof() is None:
            self._finish(
                run_end.EndKind.UNKNOWN, todo.reason, todo.retry_after_s
            )
            return
        self._finish(run_end.EndKind.NOT_RUN, todo.reason, todo.retry_after_s)

    def _finish(
        self,
        kind: run_end.EndKind,
        reason: str,
        retry_after_s: float | None = None,
    ) -> None:
        self._live.finish(
            run_end.RunEnd(
                kind=kind,
                finish_reason=str(reason),
                completion_tokens=len(self._live.record.events),
                retry_after_s=retry_after_s,
            )
        )

    async def _free_runners(self, how: stage.Ending) -> None:
        """Free memory at every runner the request has touched.

        A prefill result whose caller has gone would hold KV memory
        until it expires, and a decode until its end; both are ended
        here, whatever the way out was.
        """
        for runner_id, engine in self._touched.items():
            self._grants.release(
                runner_id=runner_id, work_id=self._item.work_id
            )
            if how is stage.Ending.COMPLETED:
                continue
            await engine.cancel(
                self._live.record.run_id, timeout_s=CANCEL_TIMEOUT_S
            )
