"""HTTP handlers of the stand-in engine."""

import asyncio
import json
import typing

import tornado.iostream
import tornado.web

from limpetroute.runners import engine_failure
from limpetroute.standins import engine_faults
from limpetroute.standins import engine_state
from limpetroute.standins import stream_faults
from limpetroute.wire import call_failed
from limpetroute.wire import caller

TRANSFER_TIMEOUT_S = 60.0
MUTE_S = 60.0
# Delay before closing a stream. If the close arrives in the same packet as
# the last events, the client may discard them unread.
BREAK_S = 0.02
DISORDER_EVENTS = 3


class _Handler(tornado.web.RequestHandler):
    state: engine_state.EngineState

    def initialize(self, state: engine_state.EngineState) -> None:
        self.state = state

    def body(self) -> dict[str, typing.Any]:
        return dict(json.loads(self.request.body))

    def refuse(self, reason: str) -> None:
        free = self.state.settings.slots - len(self.state.active)
        self.set_status(409)
        self.finish({'refused': True, 'reason': reason, 'free_slots': free})

    def refused_early(self, fence: int) -> bool:
        state = self.state
        if state.faults.refuse or state.leaving:
            self.refuse('leaving')
            return True
        if state.settings.refuses_old_fence and fence < state.fence:
            self.refuse('old fence')
            return True
        state.fence = max(state.fence, fence)
        return False


class PrefillHandler(_Handler):
    """``POST /v1/prefill``."""

    async def post(self) -> None:
        """Prefill a prompt."""
        body = self.body()
        if self.refused_early(body['fence']):
            return
        state = self.state
        if state.faults.fail_prefill > 0:
            remaining = state.faults.fail_prefill - 1
            state.faults = state.faults.model_copy(
                update={'fail_prefill': remaining}
            )
            self.request.connection.close()  # type: ignore[union-attr]
            return
        if state.is_cancelled(body['run_id']):
            self.refuse('cancelled')
            return
        if state.faults.mute_prefill:
            await asyncio.sleep(MUTE_S)
        done = await state.prefill(body['run_id'], body['prompt'])
        if done is None:
            self.set_status(410)
            await self.finish({'reason': 'cancelled'})
            return
        result, cached = done
        if state.faults.drop_prefill_reply > 0:
            remaining = state.faults.drop_prefill_reply - 1
            state.faults = state.faults.model_copy(
                update={'drop_prefill_reply': remaining}
            )
            self.request.connection.close()  # type: ignore[union-attr]
            return
        tokens = result.kv_bytes // state.settings.kv_bytes_per_token
        await self.finish(
            {
                'handle': result.handle,
                'prompt_tokens': tokens,
                'cached_tokens': cached,
                'kv_bytes': result.kv_bytes,
                'expires_in_s': state.settings.result_ttl_s,
            }
        )


class ExportHandler(_Handler):
    """``GET /v1/kv/{handle}``: the first request removes the cache."""

    def get(self, handle: str) -> None:
        """Return a KV cache and remove it from this engine."""
        held = self.state.held.pop(handle, None)
        if held is None:
            self.refuse(engine_failure.NO_KV_CACHE)
            self.set_status(404)
            return
        self.finish({'prompt': held.prompt, 'kv_bytes': held.kv_bytes})


class ImportHandler(_Handler):
    """``POST /v1/kv/import``."""

    def initialize(  # type: ignore[override]
        self, state: engine_state.EngineState, http: caller.Caller
    ) -> None:
        """Set the engine state and the client for fetching caches."""
        super().initialize(state)
        self._http = http

    async def post(self) -> None:
        """Fetch a KV cache from another engine."""
        body = self.body()
        if self.refused_early(body['fence']):
            return
        state = self.state
        if state.is_cancelled(body['run_id']):
            self.refuse('cancelled')
            return
        if not state.has_capacity(0):
            state.counts['over_asked'] += 1
            self.refuse('no slot')
            return
        reply = await self._http.call(
            method='GET',
            url=f'{body["source_url"]}/v1/kv/{body["handle"]}',
            timeout_s=TRANSFER_TIMEOUT_S,
        )
        if isinstance(reply, call_failed.CallFailed) or not reply.ok:
            self.refuse(engine_failure.NO_KV_CACHE)
            return
        cache = reply.json()
        seconds = cache['kv_bytes'] / state.settings.link_bytes_per_s
        if state.faults.stall_transfer:
            seconds = TRANSFER_TIMEOUT_S
        await asyncio.sleep(seconds * state.faults.slow_factor)
        if state.is_cancelled(body['run_id']):
            self.refuse('cancelled')
            return
        if not state.has_capacity(cache['kv_bytes']):
            state.counts['over_asked'] += 1
            self.refuse('no room')
            return
        state.add_run(body['run_id'], cache['prompt'], cache['kv_bytes'])
        await self.finish({'kv_bytes': cache['kv_bytes']})


class RunsHandler(_Handler):
    """``POST /v1/runs``: generate an answer."""

    async def post(self) -> None:
        """Start a run and stream it."""
        body = self.body()
        run = self.state.runs.get(body['run_id'])
        if run is None:
            self.refuse('no such run')
            return
        self.state.start_run(run, body['max_tokens'])
        await stream(self, self.state, run, 0)


class EventsHandler(_Handler):
    """``GET /v1/runs/{run}/events?after=N``: resume a stream."""

    async def get(self, run_id: str) -> None:
        """Stream the events after a given index."""
        run = self.state.runs.get(run_id)
        if run is None:
            self.refuse('no such run')
            return
        after = int(self.get_query_argument('after', '-1'))
        await stream(self, self.state, run, after + 1)


class RunHandler(_Handler):
    """``DELETE /v1/runs/{run}``: cancel a run."""

    def delete(self, run_id: str) -> None:
        """Cancel a run; idempotent."""
        faults = self.state.faults
        if faults.fail_cancels > 0:
            self.state.faults = faults.model_copy(
                update={'fail_cancels': faults.fail_cancels - 1}
            )
            self.request.connection.close()  # type: ignore[union-attr]
            return
        self.state.cancel(run_id)
        self.set_status(204)


class OrdersHandler(_Handler):
    """``POST /v1/orders``."""

    def post(self) -> None:
        """Load a model or change the role."""
        body = self.body()
        if self.refused_early(body.get('fence', 0)):
            return
        self.state.counts[f'order_{body.get("kind")}'] += 1
        self.finish({})


class FaultsHandler(_Handler):
    """``POST /v1/faults``: set the active faults."""

    def post(self) -> None:
        """Replace the active faults."""
        self.state.faults = engine_faults.EngineFaults.model_validate_json(
            self.request.body
        )
        self.set_status(204)


class CountsHandler(_Handler):
    """``GET /v1/counts``: counters that tests check."""

    def get(self) -> None:
        """Return counters, memory use and active runs."""
        state = self.state
        self.finish(
            {
                'counts': dict(state.counts),
                'run_starts': dict(state.run_starts),
                'kv_used_bytes': state.kv_used_bytes,
                'active': [run.run_id for run in state.active],
            }
        )


async def stream(
    handler: tornado.web.RequestHandler,
    state: engine_state.EngineState,
    run: engine_state.Run,
    place: int,
) -> None:
    """Stream a run's events, starting at index ``place``, as JSON lines."""
    handler.set_header('Content-Type', 'application/x-ndjson')
    first = place
    try:
        await handler.flush()
        while True:
            changed = run.changed
            upto = len(run.words)
            after = state.faults.break_stream_after
            if after is not None and upto - first >= after:
                upto = first + after
            if _is_batch_incomplete(run, upto - place, state.faults):
                await changed.wait()
                continue
            for line in stream_faults.lines(run, place, upto, state.faults):
                handler.write(line)
            place = upto
            if place < len(run.words):
                await handler.flush()
                await asyncio.sleep(BREAK_S)
                handler.request.connection.close()  # type: ignore[union-attr]
                return
            if run.end is not None:
                end = {'end': run.end, 'n': len(run.words)}
                handler.write(json.dumps(end) + '\n')
                await handler.finish()
                return
            if not state.faults.silent:
                await handler.flush()
            await changed.wait()
    except tornado.iostream.StreamClosedError:
        return


def _is_batch_incomplete(
    run: engine_state.Run, count: int, faults: engine_faults.EngineFaults
) -> bool:
    return faults.disorder and run.end is None and count < DISORDER_EVENTS
