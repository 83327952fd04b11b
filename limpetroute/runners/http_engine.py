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

CONNECT_TIMEOUT_S = 2.0
HTTP_NO_CONTENT = 204
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
            return engine_call.PrefillResult(**got)
        except TypeError as exc:
            return engine_failure.Failed(reason=str(exc), sent=True)

    async def import_kv(
        self, call: engine_call.ImportCall, *, timeout_s: float
    ) -> int | engine_failure.EngineFailure:
        """Fetch a KV cache from another runner; return its bytes."""
        got = await self._post('/v1/kv/import', call, timeout_s)
        if not isinstance(got, dict):
            return got
        return int(got.get('kv_bytes', 0))

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
            yield _failed(link)
            return
        try:
            if link.status != 200:
                got = await link.read(timeout_s=token_timeout_s)
                if isinstance(got, call_failed.CallFailed):
                    yield _failed(got)
                else:
                    yield _refused(got)
                return
            lines = line_splitter.LineSplitter()
            async for chunk in link.chunks(idle_timeout_s=token_timeout_s):
                for line in lines.feed(chunk):
                    event = _decode_event(line)
                    yield event
                    if not isinstance(event, engine_call.TokenEvent):
                        return
            yield engine_failure.Failed(reason='stream closed', sent=True)
        except TimeoutError:
            yield engine_failure.Failed(reason='stream silent', sent=True)
        except ValueError as exc:
            yield engine_failure.Failed(reason=str(exc), sent=True)
        finally:
            link.close()


def _decode_event(
    line: bytes,
) -> engine_call.DecodeEvent | engine_failure.Failed:
    body = json.loads(line)
    if 'i' in body:
        return engine_call.TokenEvent(index=body['i'], text=body['t'])
    if body.get('end') == 'failed':
        return engine_failure.Failed(reason='engine failed', sent=True)
    return engine_call.EndEvent(
        finish_reason=body['end'], completion_tokens=body['n']
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
