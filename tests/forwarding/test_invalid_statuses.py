"""Runners whose answers have a status that HTTP does not know."""

import asyncio

import pytest

from limpetroute.runners import engine_failure
from limpetroute.runners import http_engine
from limpetroute.wire import caller
from tests.entry import test_unframed_answers
from tests.forwarding import harness
from tests.forwarding import scripted_runner
from tests.forwarding import test_cut_heads
from tests.forwarding import test_early_successes
from tests.routing import builders


# Guards against an answer whose status is none that HTTP knows.
@pytest.mark.parametrize('way', test_early_successes.WAYS)
@pytest.mark.parametrize('kind', list(test_cut_heads.KINDS))
@pytest.mark.parametrize('status', ['000', '099', '600', '999'])
def test_an_invalid_status_reaches_no_caller(way, kind, status):
    answer = scripted_runner.response(b'in trouble', status=status)
    fields = {**test_cut_heads.KINDS[kind], 'max_sends': 1}
    got, asked = asyncio.run(
        test_early_successes._upload(
            way, [scripted_runner.answers(answer)], fields
        )
    )
    assert harness.status(got) == 502
    assert b'in trouble' not in got
    assert asked == [1]


# Guards against a KV cache that is named in such an answer.
@pytest.mark.parametrize('status', ['000', '600'])
def test_a_prefill_with_an_invalid_status_names_no_kv_cache(status):
    handle = b'{"kv-handle":"h1","tokens":1000,"version":1}'

    async def work():
        scripts = [
            scripted_runner.answers(
                scripted_runner.response(handle, status=status)
            ),
            test_early_successes._goes_on,
        ]
        async with harness.running(
            scripts,
            stages=[builders.PREFILL, builders.DECODE],
            **test_cut_heads.STREAM,
        ) as (front, (prefill, decode)):
            got = await front.request(headers=harness.STREAM_HEADERS)
            return got, prefill.requests, decode.requests

    got, prefills, decodes = asyncio.run(work())
    assert prefills
    assert not any(one.header('Kv-From') for one in decodes)
    assert harness.status(got) in (200, 503)


# Guards against the same in the product's own interface.
@pytest.mark.parametrize('status', ['000', '099', '600', '999'])
def test_an_engines_invalid_status_is_a_failure(status):
    answers = {
        b'/decode': test_unframed_answers.EVENTS,
        b'/prefill': test_unframed_answers.PREFILLED,
    }

    async def serve(reader, writer):
        head = await reader.readuntil(b'\r\n\r\n')
        (body,) = [answers[one] for one in answers if one in head]
        writer.write(scripted_runner.response(body, status=status))
        await writer.drain()
        writer.close()

    async def work():
        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        engine = http_engine.HttpEngine(
            url=f'http://127.0.0.1:{port}', http=caller.Caller()
        )
        async with server:
            call = test_unframed_answers.CALL
            events = [
                one async for one in engine.decode(call, token_timeout_s=2)
            ]
            call = test_unframed_answers.PREFILL
            return events, await engine.prefill(call, timeout_s=2)

    events, prefilled = asyncio.run(work())
    assert [type(one) for one in events] == [engine_failure.Failed]
    assert isinstance(prefilled, engine_failure.Failed)
