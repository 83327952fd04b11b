"""Clients that don't behave, at the ports of the product's own interface."""

import asyncio

import pytest

from tests.clients import payloads
from tests.clients import system as system_module
from tests.soak import world as world_module
from tests.whole_path import port_pool

HOST = '127.19.2.1'
# A small host.
MEMORY_MB = 128
FEW = 40
COUNT = 400
FEW_DESCRIPTORS = 256
TOO_MANY = 300
CALLERS = 'POST /v1/completions HTTP/1.1\r\nHost: h.example\r\n'
INTERNAL = 'POST /v1/runners HTTP/1.1\r\nHost: h.example\r\n'
CROWDS = {
    'listen': {
        'one byte short': (payloads.one_byte_short(3_900_000, CALLERS), FEW),
        'chunks': (payloads.small_chunks(65_536, 3_900_000, CALLERS), FEW),
        'one byte a chunk': (payloads.small_chunks(1, 40_000, CALLERS), COUNT),
        'many fields': (payloads.many_fields(4000, 4096, CALLERS), COUNT),
    },
    'internal_listen': {
        'one byte short': (payloads.one_byte_short(3_900_000, INTERNAL), FEW),
    },
}
CHAT = 'POST /v1/chat/completions HTTP/1.1\r\nHost: h.example\r\n'
# Takes many times its size to read.
MESSAGES = payloads.whole(
    payloads.repeated(
        b'{"model":"m","messages":[', b'{},', 3_900_000, b'{}]}'
    ),
    CHAT,
)
FEW_WHOLE = 4
CASES = [(port, name) for port in CROWDS for name in CROWDS[port]]


def _settings():
    return {
        'host_id': 'own',
        'zone': 'a',
        'zones': ['a'],
        'demo': True,
        'listen': f'{HOST}:{port_pool.free_port()}',
        'internal_listen': f'{HOST}:{port_pool.free_port()}',
        'control_urls': [],
    }


async def _answers(process):
    """Return whether both ports answer an ordinary request."""
    for port, path in (
        ('listen', '/v1/models'),
        ('internal_listen', '/v1/runners'),
    ):
        request = (
            f'GET {path} HTTP/1.1\r\nHost: h.example\r\n'
            'Connection: close\r\n\r\n'
        )
        address = system_module.address_of(process, port)
        if not await system_module.has_status(address, request.encode(), 200):
            return False
    return True


def _press(tmp_path, ports, payload, count, descriptors):
    process = world_module.Process('entry', 'own', _settings(), tmp_path)

    async def work():
        await world_module.wait_until(
            lambda: _answers(process), 20, 'an answer'
        )
        return await system_module.press(
            process, ports, payload, count, lambda: _answers(process)
        )

    with system_module.max_descriptors(descriptors):
        process.start()
    try:
        watch = asyncio.run(work())
    finally:
        process.end()
    print(watch)
    assert watch.peak_mb < MEMORY_MB
    free = system_module.FREE_DESCRIPTORS
    assert watch.peak_descriptors <= descriptors - free


# Guards against callers and peers that end the process by its memory, or keep
# its event loop from others.
@pytest.mark.parametrize(('port', 'name'), CASES)
def test_requests_without_an_end(tmp_path, port, name):
    payload, count = CROWDS[port][name]
    descriptors = system_module.MAX_DESCRIPTORS
    _press(tmp_path, [port], payload, count, descriptors)


# Guards against requests that take many times their size to read.
def test_requests_that_are_hard_to_read(tmp_path):
    descriptors = system_module.MAX_DESCRIPTORS
    _press(tmp_path, ['listen'], MESSAGES, FEW_WHOLE, descriptors)


# Guards against connections that take all descriptors of the process.
def test_connections_that_send_nothing(tmp_path):
    _press(tmp_path, list(CROWDS), b'', TOO_MANY, FEW_DESCRIPTORS)
