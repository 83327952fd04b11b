"""Single requests at the edge of the limits, at a host in calm."""

import asyncio

import pytest

from tests.clients import payloads
from tests.clients import system as system_module

MAX_BODY_BYTES = 4 << 20
HEAD = (
    'POST /safe/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: single\r\n'
    'Connection: close\r\n'
)
# Sent past the limit: more than the buffers between client and host hold.
EXCESS_BYTES = 1 << 20
IDLE_TIMEOUT_S = 2.0
PIECES = 10
PAUSE_S = 0.4


def _run(tmp_path, work, **options):
    async def whole():
        async with system_module.System(tmp_path, **options) as system:
            address = system_module.address_of(system.entry, 'callers')
            got = await work(address)
            ran = {name for one in system.world.runners for name in one.runs}
            return got, 'single' in ran

    return asyncio.run(whole())


def _status(answer):
    return int(answer.split(b' ', 2)[1]) if answer else 0


# Guards against an event loop that takes longer for the framing of a body
# than the host waits for it.
def test_the_largest_body_in_the_smallest_chunks_is_served(tmp_path):
    body = payloads.chunks(1, MAX_BODY_BYTES) + b'0\r\n\r\n'
    request = f'{HEAD}{payloads.CHUNKED}\r\n'.encode() + body
    got, ran = _run(
        tmp_path,
        lambda address: system_module.exchange(address, request),
        limits={'idle-timeout-ms': IDLE_TIMEOUT_S * 1000},
        timeout_ms=100_000,
    )
    assert (_status(got), ran) == (200, True)


# Guards against a time limit for a whole body, which slow links do not meet.
def test_a_slow_caller_that_goes_on_sending_is_served(tmp_path):
    head = f'{HEAD}Content-Length: {PIECES * 100}\r\n\r\n'.encode()

    async def work(address):
        reader, writer = await asyncio.open_connection(*address)
        writer.write(head)
        for _ in range(PIECES):
            await asyncio.sleep(PAUSE_S)
            writer.write(b'w' * 100)
        got = await reader.read()
        writer.close()
        return got

    got, ran = _run(
        tmp_path,
        work,
        limits={'idle-timeout-ms': IDLE_TIMEOUT_S * 1000},
        timeout_ms=60_000,
    )
    assert (_status(got), ran) == (200, True)


# Guards against limits on heads that an allowed head meets.
def test_a_head_of_the_allowed_size_is_served(tmp_path):
    fields = ''.join(f'a{number:04}: b\r\n' for number in range(1600))
    request = f'{HEAD}{fields}Content-Length: 0\r\n\r\n'.encode()
    got, ran = _run(
        tmp_path, lambda address: system_module.exchange(address, request)
    )
    assert (_status(got), ran) == (200, True)


# Guards against a reset that takes the answer from a caller whose body is
# over the limit.
@pytest.mark.parametrize('framing', ['length', 'chunks'])
def test_a_body_over_the_limit_gets_an_answer(tmp_path, framing):
    size = MAX_BODY_BYTES + EXCESS_BYTES
    if framing == 'length':
        body = f'Content-Length: {size}\r\n\r\n'.encode() + b'w' * size
    else:
        chunks = payloads.chunks(65_536, size // 65_536) + b'0\r\n\r\n'
        body = f'{payloads.CHUNKED}\r\n'.encode() + chunks
    request = HEAD.encode() + body
    got, ran = _run(
        tmp_path, lambda address: system_module.exchange(address, request)
    )
    assert (_status(got), ran) == (413, False)
