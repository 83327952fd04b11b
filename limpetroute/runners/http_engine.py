"""Engine client that uses HTTP and JSON."""

import dataclasses
import json
import typing

from limpetroute.runners import engine_call
from limpetroute.runners import engine_failure
from limpetroute.wire import call_failed
from limpetroute.wire import caller
from limpetroute.wire import connection
from limpetroute.wire import line_splitter
from limpetroute.wire import reply

MAX_EVENT_BYTES = 65536
# Longest reply of an engine; a faulty one may send without end.
MAX_REPLY_BYTES = 1 << 20
GOOD_ENDS = frozenset({'stop', 'length', 'content_filter', 'tool_calls'})
HTTP_OK = 200
HTTP_NOT_FOUND = 404


class HttpEngine:
    """Client for an engine, using HTTP and JSON.

    Parameters
    ----------
    url : str
        URL that the runner announced.
    http : Caller
        Makes the calls.
    """

    __slots__ = ('_http', '_url')

    def __init__(self, *, url: str, http: caller.Caller) -> None:
        self._url = url.rstrip('/')
        self._http = http

    def __repr__(self) -> str:
        return f'{type(self).__name__}(url={self._url!r})'

    @property
    def url(self) -> str:
        """Address of the runner."""
        return self._url

    async def prefill(
        self, call: engine_call.PrefillCall, *, timeout_s: float
    ) -> engine_call.PrefillResult | engine_failure.EngineFailure:
        """Prefill a prompt."""
        result = await self._post('/v1/prefill', call, timeout_s)
        if not isinstance(result, dict):
            return result
        try:
            return _prefill_result(result)
        except (KeyError, TypeError, ValueError) as exc:
            return engine_failure.Failed(reason=repr(exc), sent=True)

    async def import_kv(
        self, call: engine_call.ImportCall, *, timeout_s: float
    ) -> int | engine_failure.EngineFailure:
        """Fetch a KV cache from another runner; return its size in bytes."""
        result = await self._post('/v1/kv/import', call, timeout_s)
        if not isinstance(result, dict):
            return result
        try:
            return int(result['kv_bytes'])
        except (KeyError, TypeError, ValueError) as exc:
            return engine_failure.Failed(reason=repr(exc), sent=True)

    async def decode(
        self, call: engine_call.DecodeCall, *, token_timeout_s: float
    ) -> typing.AsyncIterator[
        engine_call.DecodeEvent | engine_failure.EngineFailure
    ]:
        """Stream the events of an answer."""
        stream = await self._http.open(
            method='POST',
            url=f'{self._url}/v1/runs',
            body=dataclasses.asdict(call),
            timeout_s=token_timeout_s,
        )
        async for event in self._events(stream, token_timeout_s):
            yield event

    async def resume(
        self, run_id: str, *, after_index: int, token_timeout_s: float
    ) -> typing.AsyncIterator[
        engine_call.DecodeEvent | engine_failure.EngineFailure
    ]:
        """Stream the remaining events of a run, after ``after_index``."""
        stream = await self._http.open(
            method='GET',
            url=f'{self._url}/v1/runs/{run_id}/events?after={after_index}',
            timeout_s=token_timeout_s,
        )
        async for event in self._events(stream, token_timeout_s):
            yield event

    async def cancel(self, run_id: str, *, timeout_s: float) -> bool:
        """Cancel a run and free its KV memory; idempotent."""
        result = await self._http.call(
            method='DELETE',
            url=f'{self._url}/v1/runs/{run_id}',
            timeout_s=timeout_s,
            max_reply_bytes=MAX_REPLY_BYTES,
        )
        if isinstance(result, call_failed.CallFailed):
            return False
        return result.ok or result.status == HTTP_NOT_FOUND

    async def order(
        self, body: typing.Mapping[str, typing.Any], *, timeout_s: float
    ) -> None | engine_failure.EngineFailure:
        """Load a model, adapter or version, or change the role."""
        result = await self._post('/v1/orders', body, timeout_s)
        if isinstance(result, dict):
            return None
        return result

    async def _post(
        self, path: str, message: typing.Any, timeout_s: float
    ) -> dict[str, typing.Any] | engine_failure.EngineFailure:
        body = message
        if dataclasses.is_dataclass(message):
            body = dataclasses.asdict(message)  # type: ignore[arg-type]
        result = await self._http.call(
            method='POST',
            url=f'{self._url}{path}',
            body=body,
            timeout_s=timeout_s,
            max_reply_bytes=MAX_REPLY_BYTES,
        )
        if isinstance(result, call_failed.CallFailed):
            return _call_failure(result)
        if not result.ok:
            return _error_reply(result)
        try:
            return dict(result.json())
        except ValueError as exc:
            return engine_failure.Failed(reason=str(exc), sent=True)

    async def _events(
        self,
        stream: connection.Connection | call_failed.CallFailed,
        token_timeout_s: float,
    ) -> typing.AsyncIterator[
        engine_call.DecodeEvent | engine_failure.EngineFailure
    ]:
        if isinstance(stream, call_failed.CallFailed):
            yield _stream_failure(str(stream.kind), sent=stream.sent)
            return
        try:
            if stream.status != HTTP_OK:
                result = await stream.read(timeout_s=token_timeout_s)
                if isinstance(result, call_failed.CallFailed):
                    yield _stream_failure(str(result.kind))
                else:
                    yield _error_reply(result)
                return
            lines = line_splitter.LineSplitter(max_line_bytes=MAX_EVENT_BYTES)
            async for chunk in stream.chunks(idle_timeout_s=token_timeout_s):
                for line in lines.feed(chunk):
                    yield _decode_event(line)
            yield _stream_failure('stream closed')
        except TimeoutError:
            yield _stream_failure('stream silent')
        except (KeyError, TypeError, ValueError) as exc:
            # A line is truncated or malformed. The events before it stay
            # valid, and the caller may resume the stream after them.
            yield _stream_failure(repr(exc))
        finally:
            stream.close()


def _stream_failure(
    reason: str, *, sent: bool = True
) -> engine_failure.Failed:
    return engine_failure.Failed(reason=reason, sent=sent, resumable=True)


def _prefill_result(
    result: typing.Mapping[str, typing.Any],
) -> engine_call.PrefillResult:
    return engine_call.PrefillResult(
        handle=str(result['handle']),
        prompt_tokens=int(result['prompt_tokens']),
        cached_tokens=int(result['cached_tokens']),
        kv_bytes=int(result['kv_bytes']),
        expires_in_s=float(result['expires_in_s']),
    )


def _decode_event(
    line: bytes,
) -> engine_call.DecodeEvent | engine_failure.Failed:
    body = json.loads(line)
    if 'i' in body:
        index, text = body['i'], body['t']
        if type(index) is not int or type(text) is not str:
            raise ValueError(f'not an event: {line[:80]!r}')
        return engine_call.TokenEvent(index=index, text=text)
    reason = body['end']
    if reason not in GOOD_ENDS:
        # The run failed or was cancelled at the engine, so the answer is
        # incomplete and cannot be resumed.
        return engine_failure.Failed(reason=f'engine: {reason}', sent=True)
    return engine_call.EndEvent(
        finish_reason=reason, completion_tokens=int(body['n'])
    )


def _call_failure(result: call_failed.CallFailed) -> engine_failure.Failed:
    return engine_failure.Failed(
        reason=f'{result.kind} {result.detail}'.strip(), sent=result.sent
    )


def _error_reply(result: reply.Reply) -> engine_failure.EngineFailure:
    try:
        body = result.json()
    except ValueError:
        body = None
    # Only an explicit refusal by the engine proves that the call did not
    # run. An error status alone may result from a crash during the call.
    if isinstance(body, dict) and body.get('refused') is True:
        return engine_failure.Refused(
            reason=str(body.get('reason', '')),
            free_slots=int(body.get('free_slots', 0)),
        )
    return engine_failure.Failed(reason=f'status {result.status}', sent=True)
