import asyncio
import json
import tracemalloc

import pytest

from limpetroute.border import manifest as manifest_module
from tests.entry import fleet as fleet_module
from tests.entry import raw_caller

GOOD = {'model': 'review', 'prompt': 'x'}
DEEP = b'{"model":"review","prompt":"x","a":' + b'[' * 50000
CASES = [
    (b'', 400, 'invalid_body'),
    (b'{"model": "review", "prompt": "\xff\xfe"}', 400, 'invalid_body'),
    (b'{"model": "review", "prom', 400, 'invalid_body'),
    (DEEP, 400, 'invalid_body'),
    (DEEP + b']' * 10000, 400, 'invalid_body'),
    (b'[1]', 400, 'invalid_body'),
    (b'{"model": "review", "prompt": ""}', 400, 'invalid_body'),
    (b'{"model": "review", "prompt": "x", "n": 2}', 400, 'invalid_body'),
    (b'{"model": "review", "prompt": "x", "max_tokens": 0}', 400, 'invalid'),
    (b'{"model": "review", "prompt": "\\ud800"}', 400, 'invalid_body'),
    (b'{"model": "other", "prompt": "x"}', 404, 'model_not_found'),
    (json.dumps({**GOOD, 'a': 'x' * 70000}).encode(), 413, 'body_too_large'),
    (json.dumps({**GOOD, 'a': 'x' * 900000}).encode(), 413, 'body_too_large'),
]


@pytest.mark.parametrize(('body', 'status', 'code'), CASES)
def test_bad_bodies(body: bytes, status: int, code: str) -> None:
    # A request that cannot run gets an error in OpenAI's format, and
    # nothing is sent to a runner.
    async def story(fleet: fleet_module.Fleet) -> None:
        got, headers, answer = await raw_caller.fetch(
            fleet, 'POST', '/v1/completions', body
        )
        assert got == status
        assert answer['error']['code'].startswith(code)
        assert headers['limpetroute-outcome'] == 'not_run'
        assert not fleet.starts()
        assert fleet.host.in_progress == 0

    fleet_module.play(story)


def test_chunked_body_past_the_limit() -> None:
    # A chunked body without an end is rejected at the limit, so it cannot
    # fill the host's memory.
    async def story(fleet: fleet_module.Fleet) -> None:
        caller = raw_caller.RawCaller(fleet.port)
        await caller.send_raw(
            b'POST /v1/completions HTTP/1.1\r\nHost: x\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n'
        )
        chunk = b'4000\r\n' + b'x' * 0x4000 + b'\r\n'
        tracemalloc.start()
        try:
            for _ in range(400):
                await caller.send_raw(chunk)
                await asyncio.sleep(0)
        except ConnectionError:
            pass
        _, peak_bytes = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        assert peak_bytes < 4 << 20
        assert await caller.read_head() in (413, 0)

    fleet_module.play(story)


def test_slow_body() -> None:
    # A body that does not arrive within the time limit gets a 408.
    async def story(fleet: fleet_module.Fleet) -> None:
        caller = raw_caller.RawCaller(fleet.port)
        await caller.send_raw(
            b'POST /v1/completions HTTP/1.1\r\nHost: x\r\n'
            b'Content-Length: 1000\r\n\r\n{'
        )
        assert await caller.read_head() == 408
        assert b'body_timeout' in await caller.read_body()

    fleet_module.play(story)


@pytest.mark.parametrize(
    'lines',
    [
        b''.join(b'X-%d: y\r\n' % number for number in range(150)),
        b'X-Long: ' + b'y' * 20000 + b'\r\n',
    ],
)
def test_too_many_headers(lines: bytes) -> None:
    # More or longer headers than any client library sends get a 431.
    async def story(fleet: fleet_module.Fleet) -> None:
        for path in (b'/v1/completions', b'/v1/models', b'/nowhere'):
            caller = raw_caller.RawCaller(fleet.port)
            await caller.send_raw(
                b'POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n' % path
                + lines
                + b'\r\n'
            )
            status = await caller.read_head()
            assert status == (404 if path == b'/nowhere' else 431)
            assert 'error' in json.loads(await caller.read_body())

    fleet_module.play(story)


def test_over_long_key() -> None:
    # Keys over the limit are rejected, because they would fill the
    # index of records.
    async def story(fleet: fleet_module.Fleet) -> None:
        for key in ('', 'k' * 300):
            status, _, body = await raw_caller.fetch(
                fleet,
                'POST',
                '/v1/completions',
                GOOD,
                headers={'Idempotency-Key': key},
            )
            assert (status, body['error']['code']) == (400, 'invalid_key')

    fleet_module.play(story)


def test_over_long_prompt() -> None:
    # A prompt over the manifest's limit for the model is rejected before
    # it uses a prefill.
    async def story(fleet: fleet_module.Fleet) -> None:
        fleet.host.manifest = manifest_module.ManifestBody.model_validate(
            {
                'number': 1,
                'models': [
                    {'name': 'review', 'version': '1', 'max_prompt_tokens': 9}
                ],
            }
        )
        for path, body, param in (
            ('/v1/completions', {'prompt': 'x' * 100}, 'prompt'),
            (
                '/v1/chat/completions',
                {'messages': [{'role': 'user', 'content': 'x' * 100}]},
                'messages',
            ),
        ):
            status, _, answer = await raw_caller.fetch(
                fleet, 'POST', path, {'model': 'review', **body}
            )
            assert status == 400
            assert answer['error']['code'] == 'context_length_exceeded'
            assert answer['error']['param'] == param
        assert not fleet.starts()

    fleet_module.play(story)


def test_errors_that_tornado_raises() -> None:
    # Errors for a wrong path, a wrong method and an exception in a
    # handler have OpenAI's format. After an exception the outcome is
    # `unknown`, because the request may have run.
    async def story(fleet: fleet_module.Fleet) -> None:
        status, _, body = await raw_caller.fetch(fleet, 'GET', '/nowhere')
        assert (status, body['error']['code']) == (404, 'not_found')
        status, _, body = await raw_caller.fetch(
            fleet, 'GET', '/v1/completions'
        )
        assert (status, body['error']['code']) == (405, 'method_not_allowed')
        fleet.host.records = None
        status, headers, body = await raw_caller.fetch(
            fleet,
            'POST',
            '/v1/completions',
            GOOD,
            headers={'Idempotency-Key': 'k'},
        )
        assert status == 500
        assert headers['limpetroute-outcome'] == 'unknown'
        assert body['error']['type'] == 'server_error'
        fleet.host.records = []

    fleet_module.play(story)


def test_callers_that_leave_in_the_body() -> None:
    # Callers disconnect before their body is complete. Nothing runs, and
    # no task of the host waits for the rest of the body.
    async def story(fleet: fleet_module.Fleet) -> None:
        before = len(asyncio.all_tasks())
        for _ in range(20):
            caller = raw_caller.RawCaller(fleet.port)
            await caller.send_raw(
                b'POST /v1/completions HTTP/1.1\r\nHost: x\r\n'
                b'Content-Length: 1000\r\n\r\n{'
            )
            await fleet_module.until(
                lambda: len(fleet.host.open_handlers) == 1
            )
            caller.rst()
            await fleet_module.until(lambda: not fleet.host.open_handlers)
        await fleet_module.until(
            lambda: len(asyncio.all_tasks()) < before + 10
        )
        assert not fleet.starts()

    fleet_module.play(story)
