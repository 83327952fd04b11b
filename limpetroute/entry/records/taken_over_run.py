"""Goes on with a run whose entry host is gone."""

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

Continue = typing.Callable[[int], run_task.RunTask]


class TakenOverRun:
    """Resumes the run at its runner, else continues on another.

    The run goes on at the runner whoever reads it, so its events are
    read on from the last one copied. If the runner does not have it any
    more, a new run continues from the prompt and all events so far.

    Parameters
    ----------
    request : RunRequest
        What the caller asked for.
    live : LiveRecord
        The record, with the events that were copied.
    context : RunContext
        What the run works with.
    runner : mapping
        The try in progress when the owner was lost.
    go_on : callable
        Makes the task that continues after that many tries.
    """

    __slots__ = ('_go_on', '_live', '_request', '_runner', '_context')

    def __init__(
        self,
        *,
        request: run_request.RunRequest,
        live: live_record.LiveRecord,
        context: run_context.RunContext,
        runner: typing.Mapping[str, typing.Any],
        go_on: Continue,
    ) -> None:
        self._request = request
        self._live = live
        self._context = context
        self._runner = runner
        self._go_on = go_on

    def __repr__(self) -> str:
        return f'{type(self).__name__}(live={self._live!r})'

    @property
    def _tries(self) -> int:
        run_id = str(self._runner.get('run_id', ''))
        number = run_id.rpartition('.')[2]
        return int(number) if number.isdigit() else 0

    async def run(self) -> None:
        """Resume, or continue, to the end."""
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
            self._free(engine)
        await self._go_on(max(1, self._tries)).run()

    async def _resume(self, engine: engine_client.EngineClient) -> bool:
        record = self._live.record
        base = int(self._runner['base'])
        self._live.attempt_run_id = str(self._runner['run_id'])
        self._live.attempt_start_index = base
        self._live.runner_id = str(self._runner['runner_id'])
        if self._context.copy is not None:
            await self._context.copy(self._live)
        known = len(record.events) - base
        reader = answer_reader.AnswerReader(append=self._append, first=known)
        got = await reader.read(
            engine.resume(
                str(self._runner['run_id']),
                after_index=known - 1,
                token_timeout_s=self._context.settings.token_timeout_s,
            )
        )
        if isinstance(got, engine_call.EndEvent):
            self._complete(got.finish_reason)
            return True
        if len(record.events) >= self._request.max_tokens:
            self._complete('length')
            return True
        LOG.info('%s is not resumable: %s', record.run_id, got)
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
            self._free(engine)
        self._live.finish(
            run_end.RunEnd(
                kind=run_end.EndKind.CANCELLED,
                finish_reason=self._live.cancel_reason,
                completion_tokens=len(self._live.record.events),
            )
        )

    def _free(self, engine: engine_client.EngineClient) -> None:
        self._context.canceller.cancel(
            run_id=str(self._runner['run_id']),
            engine=engine,
            on_end=_ignore,
        )


def _ignore(confirmed: bool) -> None:
    """Take no note: the reaper ends what could not be ended here."""
