"""Engines' answers that have no length and end with their connection."""

import asyncio
import json

from limpetroute.runners import engine_call
from limpetroute.runners import engine_failure
from limpetroute.runners import http_engine
from limpetroute.wire import caller

EVENTS = b'{"i":0,"t":"a"}\n{"i":1,"t":"b"}\n{"end":"stop","n":2}\n'
PREFILLED = json.dumps(
    {
        'handle': 'h',
        'prompt_tokens': 1000,
        'cached_tokens': 0,
        'kv_bytes': 1,
        'expires_in_s': 0.5,
    }
).encode()
CALL = engine_call.DecodeCall(
    run_id='r', model='m', max_tokens=2, priority=0, fence=0
)
PREFILL = engine_call.PrefillCall(
    run_id='r', model='m', prompt='p', priority=0, fence=0, latest_start_s=1.0
)


async def _each_cut(body, use):
    """Return the result of a call for each length at which it is cut."""
    size = 0

    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(b'HTTP/1.1 200 OK\r\n\r\n' + body[:size])
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    engine = http_engine.HttpEngine(
        url=f'http://127.0.0.1:{port}', http=caller.Caller()
    )
    results = []
    async with server:
        for size in range(len(body) + 1):  # noqa: B007
            results.append(await use(engine))
    return results


# Guards against an answer that was cut and is taken for a whole one.
def test_a_cut_stream_of_an_engine_has_no_end():
    async def use(engine):
        return [one async for one in engine.decode(CALL, token_timeout_s=2)]

    *cut, whole = asyncio.run(_each_cut(EVENTS, use))
    assert isinstance(whole[2], engine_call.EndEvent)
    for events in cut:
        assert isinstance(events[-1], engine_failure.Failed)
        assert not any(isinstance(e, engine_call.EndEvent) for e in events)


# Guards against numbers that are cut and are taken for whole ones.
def test_a_cut_result_of_an_engine_is_a_failure():
    async def use(engine):
        return await engine.prefill(PREFILL, timeout_s=2)

    *cut, whole = asyncio.run(_each_cut(PREFILLED, use))
    assert isinstance(whole, engine_call.PrefillResult)
    assert all(isinstance(one, engine_failure.Failed) for one in cut)
