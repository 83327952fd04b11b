"""CPU and memory of the entry process for requests and tokens."""

import asyncio
import time

from limpetroute.bench import loop_thread
from limpetroute.bench.capacity import figure  # noqa: H306
from limpetroute.bench.capacity import memory
from limpetroute.border import entry_settings
from limpetroute.border import standin_settings
from limpetroute.entry import server as entry_server
from limpetroute.standins import engine_server
from limpetroute.wire import call_failed
from limpetroute.wire import caller

STREAMS = 200
SLOTS = 1000
SHORT_TOKENS = 20
LONG_TOKENS = 220
STEP_S = 0.02
ANNOUNCED_WAIT_S = 5.0
CALL_TIMEOUT_S = 120.0
READY_POLL_S = 0.05


class StreamProbe:
    """Streams short and long answers; the slope between is a token's."""

    def measure(self) -> list[figure.Figure]:
        """Run the fleet in two threads and read the entry's CPU."""
        entry_thread = loop_thread.LoopThread(name='probe')
        load_thread = loop_thread.LoopThread(name='probe')
        entry = entry_thread.run(_start_entry())
        engines = load_thread.run(_start_engines(entry.internal_port))
        try:
            load_thread.run(_wait_for_models(entry.port))
            load_thread.run(_load(entry.port, SHORT_TOKENS))
            cpu_s = []
            before_bytes = memory.resident_bytes()
            for tokens in (SHORT_TOKENS, LONG_TOKENS):
                begun_s = entry_thread.cpu_s()
                load_thread.run(_load(entry.port, tokens))
                cpu_s.append((entry_thread.cpu_s() - begun_s) / STREAMS)
            grown = memory.resident_bytes() - before_bytes
        finally:
            entry_thread.run(entry.stop())
            load_thread.run(_stop(engines))
            load_thread.stop()
            entry_thread.stop()
        per_token_s = (cpu_s[1] - cpu_s[0]) / (LONG_TOKENS - SHORT_TOKENS)
        per_request_s = cpu_s[0] - SHORT_TOKENS * per_token_s
        how = f'{STREAMS} streams at once, one per step of {STEP_S} s'
        return [
            figure.Figure(
                name='entry.cpu_per_token_us',
                value=per_token_s * 1e6,
                unit='us',
                how=how,
            ),
            figure.Figure(
                name='entry.cpu_per_request_us',
                value=per_request_s * 1e6,
                unit='us',
                how=how,
            ),
            figure.Figure(
                name='entry.memory_per_stream_bytes',
                value=grown / STREAMS,
                unit='B',
                how=f'{how}; with the load tool and the stand-ins',
            ),
        ]


async def _start_entry() -> entry_server.EntryServer:
    entry = entry_server.EntryServer(
        settings=entry_settings.EntrySettings(
            host_id='e1',
            zone='z',
            zones=['z'],
            first_token_s=60.0,
            retain_s=1.0,
        )
    )
    entry.start()
    return entry


async def _start_engines(
    internal_port: int,
) -> list[engine_server.EngineServer]:
    engines = []
    for role in ('prefill', 'decode'):
        engine = engine_server.EngineServer(
            settings=standin_settings.StandinSettings.model_validate(
                {
                    'runner_id': role,
                    'role': role,
                    'zone': 'z',
                    'models': ['m'],
                    'slots': SLOTS,
                    'kv_capacity_bytes': 1 << 40,
                    'prefill_tokens_per_s': 1e6,
                    'step_s': STEP_S,
                    'result_ttl_s': 60.0,
                    'announce_urls': [f'http://127.0.0.1:{internal_port}'],
                }
            )
        )
        engine.start()
        engines.append(engine)
    return engines


async def _stop(engines: list[engine_server.EngineServer]) -> None:
    for engine in engines:
        await engine.stop()


async def _wait_for_models(port: int) -> None:
    http = caller.Caller()
    until_s = time.monotonic() + ANNOUNCED_WAIT_S
    while time.monotonic() < until_s:
        got = await http.call(
            method='GET',
            url=f'http://127.0.0.1:{port}/v1/models',
            timeout_s=1.0,
        )
        if not isinstance(got, call_failed.CallFailed) and got.json()['data']:
            await asyncio.sleep(READY_POLL_S)
            return
        await asyncio.sleep(READY_POLL_S)
    raise RuntimeError('the stand-in runners did not announce')


async def _load(port: int, tokens: int) -> None:
    calls = [_one(port, number, tokens) for number in range(STREAMS)]
    await asyncio.gather(*calls)


async def _one(port: int, number: int, tokens: int) -> None:
    link = await caller.Caller().open(
        method='POST',
        url=f'http://127.0.0.1:{port}/v1/completions',
        body={
            'model': 'm',
            'prompt': f'request {number}',
            'max_tokens': tokens,
            'stream': True,
        },
        timeout_s=CALL_TIMEOUT_S,
    )
    if isinstance(link, call_failed.CallFailed):
        raise RuntimeError(f'call failed: {link}')
    try:
        size = 0
        async for chunk in link.chunks(idle_timeout_s=CALL_TIMEOUT_S):
            size += chunk.count(b'data: ')
        if size < tokens:
            raise RuntimeError(
                f'torn answer: {size} events of {tokens}, status {link.status}'
            )
    finally:
        link.close()
