"""Reads one decode into the record, across broken streams."""

import asyncio

from limpetroute.entry.records import live_record
from limpetroute.entry.runs import answer_reader
from limpetroute.entry.runs import run_context
from limpetroute.runners import engine_call
from limpetroute.runners import engine_client
from limpetroute.runners import engine_failure

MAX_RESUMES = 2
RESUME_PAUSE_S = 0.05


class DecodeStream:
    """Starts a decode, and resumes the same run if its stream breaks.

    A run whose stream broke goes on at the engine: asking it for the
    rest keeps the one sampling, and costs no second prefill.

    Parameters
    ----------
    call : DecodeCall
        The order.
    engine : EngineClient
        The decode runner.
    live : LiveRecord
        Where the events go.
    max_events : int
        Most events of the whole answer.
    context : RunContext
        Time limits, counts and the router.
    """

    __slots__ = ('_call', '_engine', '_live', '_max_events', '_context')

    def __init__(
        self,
        *,
        call: engine_call.DecodeCall,
        engine: engine_client.EngineClient,
        live: live_record.LiveRecord,
        max_events: int,
        context: run_context.RunContext,
    ) -> None:
        self._call = call
        self._engine = engine
        self._live = live
        self._max_events = max_events
        self._context = context

    def __repr__(self) -> str:
        return f'{type(self).__name__}(run_id={self._call.run_id!r})'

    async def run(
        self,
    ) -> engine_call.EndEvent | engine_failure.EngineFailure:
        """Read to the end, or until the run is lost."""
        reader = answer_reader.AnswerReader(append=self._append)
        got = await reader.read(self._events(reader.last_index))
        tries = 0
        while isinstance(got, engine_failure.Failed) and got.resumable:
            if tries == MAX_RESUMES:
                break
            before = reader.last_index
            self._context.meters.retried('resume')
            await asyncio.sleep(RESUME_PAUSE_S)
            got = await reader.read(self._events(before))
            tries = 0 if reader.last_index > before else tries + 1
        return got

    def _events(self, last_index: int) -> answer_reader.Events:
        timeout_s = self._context.settings.token_timeout_s
        if last_index < 0:
            # The order itself may have been lost; a second one for the
            # same run id starts nothing twice.
            return self._engine.decode(self._call, token_timeout_s=timeout_s)
        return self._engine.resume(
            self._call.run_id,
            after_index=last_index,
            token_timeout_s=timeout_s,
        )

    def _append(self, text: str) -> None:
        if len(self._live.record.events) >= self._max_events:
            return
        self._live.append(text, self._context.scheduler.now_s)
        self._context.scheduler.tokens(self._live.record.request_id, 1)
