"""Continues a run whose entry host was lost."""

import asyncio
import logging
import typing

from limpetroute.entry.records import live_record
from limpetroute.entry.runs import answer_reader
from limpetroute.entry.runs import run_context
from limpetroute.entry.runs import run_request
from limpetroute.entry.runs import run_task
from limpetroute.peers import run_end
from limpetroute.runners import engine_call
from limpetroute.runners import engine_client

LOG = logging.getLogger(__name__)

MakeTask = typing.Callable[[int], run_task.RunTask]


class TakenOverRun:
    """Resumes a run at its runner, or starts a new attempt.

    The runner continues a run after its entry host was lost, so the
    events after the last copied one can be read from the runner. If the
    runner no longer has the run, a new attempt continues from the prompt
    and the copied events.

    Parameters
    ----------
    request : RunRequest
        The caller's request.
    live : LiveRecord
        The record with the copied events.
    context : RunContext
        Collaborators of the run.
    runner : mapping
        Runner id, run id and start index (``base``) of the attempt in
        progress when the owner was lost; empty if there was none.
    make_task : callable
        Given the number of earlier attempts, makes the task that
        continues the request with a new attempt.
    """

    __slots__ = ('_context', '_live', '_make_task', '_request', '_runner')

    def __init__(
        self,
        *,
        request: run_request.RunRequest,
        live: live_record.LiveRecord,
        context: run_context.RunContext,
        runner: typing.Mapping[str, typing.Any],
        make_task: MakeTask,
    ) -> None:
        self._request = request
        self._live = live
        self._context = context
        self._runner = runner
        self._make_task = make_task

    def __repr__(self) -> str:
        return f'{type(self).__name__}(live={self._live!r})'

    @property
    def _attempts(self) -> int:
        """Number of the attempt in progress; 0 if there was none."""
        run_id = str(self._runner.get('run_id', ''))
        number = run_id.rpartition('.')[2]
        return int(number) if number.isdigit() else 0

    async def run(self) -> None:
        """Resume the run or start a new attempt, until the answer ends."""
        engine = None
        runner_id = self._runner.get('runner_id')
        if runner_id is not None:
            engine = self._context.engines.get(runner_id)
        try:
            if engine is not None and await self._resume(engine):
                return
        except asyncio.CancelledError:
            self._finish_cancelled(engine)
            return
        if engine is not None:
            self._cancel(engine)
        await self._make_task(max(1, self._attempts)).run()

    async def _resume(self, engine: engine_client.EngineClient) -> bool:
        record = self._live.record
        start_index = int(self._runner['base'])
        self._live.attempt_run_id = str(self._runner['run_id'])
        self._live.attempt_start_index = start_index
        self._live.runner_id = str(self._runner['runner_id'])
        if self._context.copy is not None:
            await self._context.copy(self._live)
        copied = len(record.events) - start_index
        reader = answer_reader.AnswerReader(append=self._append, first=copied)
        result = await reader.read(
            engine.resume(
                str(self._runner['run_id']),
                after_index=copied - 1,
                token_timeout_s=self._context.settings.token_timeout_s,
            )
        )
        if isinstance(result, engine_call.EndEvent):
            self._complete(result.finish_reason)
            return True
        if len(record.events) >= self._request.max_tokens:
            self._complete('length')
            return True
        LOG.info('%s is not resumable: %s', record.run_id, result)
        return False

    def _append(self, text: str) -> None:
        if len(self._live.record.events) < self._request.max_tokens:
            self._live.append(text, self._context.scheduler.now_s)

    def _complete(self, finish_reason: str) -> None:
        self._live.finish(
            run_end.RunEnd(
                kind=run_end.EndKind.COMPLETED,
                finish_reason=finish_reason,
                completion_tokens=len(self._live.record.events),
            )
        )

    def _finish_cancelled(
        self, engine: engine_client.EngineClient | None
    ) -> None:
        if engine is not None and not self._live.handed_over:
            self._cancel(engine)
        self._live.finish(
            run_end.RunEnd(
                kind=run_end.EndKind.CANCELLED,
                finish_reason=self._live.cancel_reason,
                completion_tokens=len(self._live.record.events),
            )
        )

    def _cancel(self, engine: engine_client.EngineClient) -> None:
        self._context.canceller.cancel(
            run_id=str(self._runner['run_id']),
            engine=engine,
            on_end=_ignore,
        )


def _ignore(confirmed: bool) -> None:
    """Ignore a failed cancel; the reaper ends runs that remain."""
