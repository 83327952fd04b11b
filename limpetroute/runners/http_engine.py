"""An engine reached over HTTP with JSON."""

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
GOOD_ENDS = frozenset({'stop', 'length', 'content_filter', 'tool_calls'})
HTTP_OK = 200
HTTP_NOT_FOUND = 404


class HttpEngine:
    """Client of one engine.

    Parameters
    ----------
    url : str
        Address the runner announced.
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
        """Read a prompt."""
        got = await self._post('/v1/prefill', call, timeout_s)
        if not isinstance(got, dict):
            return got
        try:
            return _prefill_result(got)
        except (KeyError, TypeError, ValueError) as exc:
            return engine_failure.Failed(reason=repr(exc), sent=True)

    async def import_kv(
        self, call: engine_call.ImportCall, *, timeout_s: float
    ) -> int | engine_failure.EngineFailure:
        """Fetch a KV cache from another runner; return its bytes."""
        got = await self._post('/v1/kv/import', call, timeout_s)
        if not isinstance(got, dict):
            return got
        try:
            return int(got['kv_bytes'])
        except (KeyError, TypeError, ValueError) as exc:
            return engine_failure.Failed(reason=repr(exc), sent=True)

    async def decode(
        self, call: engine_call.DecodeCall, *, token_timeout_s: float
    ) -> typing.AsyncIterator[
        engine_call.DecodeEvent | engine_failure.EngineFailure
    ]:
        """Write an answer, piece by piece."""
        link = await self._http.open(
            method='POST',
            url=f'{self._url}/v1/runs',
            body=dataclasses.asdict(call),
            timeout_s=token_timeout_s,
        )
        async for event in self._events(link, token_timeout_s):
            yield event

    async def resume(
        self, run_id: str, *, after_index: int, token_timeout_s: float
    ) -> typing.AsyncIterator[
        engine_call.DecodeEvent | engine_failure.EngineFailure
    ]:
        """Receive the rest of an answer that the engine still holds."""
        link = await self._http.open(
            method='GET',
            url=f'{self._url}/v1/runs/{run_id}/events?after={after_index}',
            timeout_s=token_timeout_s,
        )
        async for event in self._events(link, token_timeout_s):
            yield event

    async def cancel(self, run_id: str, *, timeout_s: float) -> bool:
        """End a run and free its KV memory; idempotent."""
        got = await self._http.call(
            method='DELETE',
            url=f'{self._url}/v1/runs/{run_id}',
            timeout_s=timeout_s,
        )
        if isinstance(got, call_failed.CallFailed):
            return False
        return got.ok or got.status == HTTP_NOT_FOUND

    async def order(
        self, body: typing.Mapping[str, typing.Any], *, timeout_s: float
    ) -> None | engine_failure.EngineFailure:
        """Load a model, adapter or version, or change the role."""
        got = await self._post('/v1/orders', body, timeout_s)
        if isinstance(got, dict):
            return None
        return got

    async def _post(
        self, path: str, message: typing.Any, timeout_s: float
    ) -> dict[str, typing.Any] | engine_failure.EngineFailure:
        body = message
        if dataclasses.is_dataclass(message):
            body = dataclasses.asdict(message)  # type: ignore[arg-type]
        got = await self._http.call(
            method='POST',
            url=f'{self._url}{path}',
            body=body,
            timeout_s=timeout_s,
        )
        if isinstance(got, call_failed.CallFailed):
            return _failed(got)
        if not got.ok:
            return _refused(got)
        try:
            return dict(got.json())
        except ValueError as exc:
            return engine_failure.Failed(reason=str(exc), sent=True)

    async def _events(
        self,
        link: connection.Connection | call_failed.CallFailed,
        token_timeout_s: float,
    ) -> typing.AsyncIterator[
        engine_call.DecodeEvent | engine_failure.EngineFailure
    ]:
        if isinstance(link, call_failed.CallFailed):
            yield _broken(str(link.kind), sent=link.sent)
            return
        try:
            if link.status != HTTP_OK:
                got = await link.read(timeout_s=token_timeout_s)
                if isinstance(got, call_failed.CallFailed):
                    yield _broken(str(got.kind))
                else:
                    yield _refused(got)
                return
            lines = line_splitter.LineSplitter(max_line_bytes=MAX_EVENT_BYTES)
            async for chunk in link.chunks(idle_timeout_s=token_timeout_s):
                for line in lines.feed(chunk):
                    yield _decode_event(line)
            yield _broken('stream closed')
        except TimeoutError:
            yield _broken('stream silent')
        except (KeyError, TypeError, ValueError) as exc:
            # A torn or garbled line: what came before it stands, and
            # the engine is asked for the rest.
            yield _broken(repr(exc))
        finally:
            link.close()


def _broken(reason: str, *, sent: bool = True) -> engine_failure.Failed:
    return engine_failure.Failed(reason=reason, sent=sent, resumable=True)


def _prefill_result(
    got: typing.Mapping[str, typing.Any],
) -> engine_call.PrefillResult:
    return engine_call.PrefillResult(
        handle=str(got['handle']),
        prompt_tokens=int(got['prompt_tokens']),
        cached_tokens=int(got['cached_tokens']),
        kv_bytes=int(got['kv_bytes']),
        expires_in_s=float(got['expires_in_s']),
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
        # Failed or cancelled at the engine: the run is over there, and
        # its text is no whole answer.
        return engine_failure.Failed(reason=f'engine: {reason}', sent=True)
    return engine_call.EndEvent(
        finish_reason=reason, completion_tokens=int(body['n'])
    )


def _failed(got: call_failed.CallFailed) -> engine_failure.Failed:
    return engine_failure.Failed(
        reason=f'{got.kind} {got.detail}'.strip(), sent=got.sent
    )


def _refused(got: reply.Reply) -> engine_failure.EngineFailure:
    try:
        body = got.json()
    except ValueError:
        body = None
    # Only the engine's own word counts as proof that nothing ran: a bare
    # error status may come from a crash in the middle of the call.
    if isinstance(body, dict) and body.get('refused') is True:
        return engine_failure.Refused(
            reason=str(body.get('reason', '')),
            free_slots=int(body.get('free_slots', 0)),
        )
    return engine_failure.Failed(reason=f'status {got.status}', sent=True)
