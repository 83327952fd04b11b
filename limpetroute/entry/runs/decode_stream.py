"""Reads a decode into the record and resumes broken streams."""

import asyncio

from limpetroute.entry.records import live_record
from limpetroute.entry.runs import answer_reader
from limpetroute.entry.runs import run_context
from limpetroute.runners import engine_call
from limpetroute.runners import engine_client
from limpetroute.runners import engine_failure

MAX_RESUMES = 2
RESUME_DELAY_S = 0.05


class DecodeStream:
    """Starts a decode and resumes the same run if its stream breaks.

    The engine continues a run after its stream has broken. Resuming the
    run keeps the tokens that the engine sampled and needs no second
    prefill.

    Parameters
    ----------
    call : DecodeCall
        The call that starts the decode.
    engine : EngineClient
        Client of the decode runner.
    live : LiveRecord
        Record to which the events are appended.
    max_events : int
        Largest number of events in the whole answer.
    context : RunContext
        Time limits, metrics and the scheduler.
    """

    __slots__ = ('_call', '_context', '_engine', '_live', '_max_events')

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
        """Read the answer to its end.

        Gives up after ``MAX_RESUMES`` resumed streams in a row without
        a new event, or at a failure that cannot be resumed.

        Returns
        -------
        EndEvent or EngineFailure
            The end of the answer, or the last failure.
        """
        reader = answer_reader.AnswerReader(append=self._append)
        result = await reader.read(self._events(reader.last_index))
        resumes = 0
        while isinstance(result, engine_failure.Failed) and result.resumable:
            if resumes == MAX_RESUMES:
                break
            last_index = reader.last_index
            self._context.meters.retried('resume')
            await asyncio.sleep(RESUME_DELAY_S)
            result = await reader.read(self._events(last_index))
            resumes = 0 if reader.last_index > last_index else resumes + 1
        return result

    def _events(self, last_index: int) -> answer_reader.Events:
        timeout_s = self._context.settings.token_timeout_s
        if last_index < 0:
            # The call that starts the decode may have been lost. The
            # engine starts a run id only once, so it can be repeated.
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
