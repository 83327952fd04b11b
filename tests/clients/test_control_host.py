"""Clients that don't behave, at the ports of a control host."""

import asyncio
import json

import pytest

from tests.clients import payloads
from tests.clients import system as system_module
from tests.soak import world as world_module

FEW = 20
COUNT = 400
FEW_DESCRIPTORS = 256
TOO_MANY = 300
LARGE_BYTES = 30_000_000
INTERNAL_BYTES = 16_000_000
PUBLIC = 'PUT /api/config HTTP/1.1\r\nHost: h.example\r\n'
INTERNAL = 'POST /v1/commands HTTP/1.1\r\nHost: h.example\r\n'
METRICS = 'POST /metrics HTTP/1.1\r\nHost: h.example\r\n'


CROWDS = {
    'public_listen': {
        'chunks': (
            payloads.small_chunks(65_536, LARGE_BYTES, PUBLIC),
            FEW,
        ),
        'one byte short': (payloads.one_byte_short(LARGE_BYTES, PUBLIC), FEW),
        'one byte a chunk': (payloads.small_chunks(1, 40_000, PUBLIC), COUNT),
        'many fields': (payloads.many_fields(1000, 4096, PUBLIC), COUNT),
    },
    'listen': {
        'chunks': (
            payloads.small_chunks(65_536, INTERNAL_BYTES, INTERNAL),
            FEW,
        ),
        'one byte short': (
            payloads.one_byte_short(INTERNAL_BYTES, INTERNAL),
            FEW,
        ),
        'one byte a chunk': (
            payloads.small_chunks(1, 40_000, INTERNAL),
            COUNT,
        ),
    },
    'metrics': {
        'one byte short': (
            payloads.one_byte_short(INTERNAL_BYTES, METRICS),
            FEW,
        ),
    },
}
BEAT = 'PUT /api/instances/p9 HTTP/1.1\r\nHost: h.example\r\n'
ROUTES = b'{"version":1,"services":[],"routes":['
# Whole requests that take many times their size to read.
WHOLE = {
    'empty routes': payloads.whole(
        payloads.repeated(ROUTES, b'{},', 2_000_000, b'{}]}'), PUBLIC
    ),
    'lists': payloads.whole(
        payloads.repeated(b'{"x":[', b'[],', LARGE_BYTES, b'[]]}'), PUBLIC
    ),
    'lists in a heartbeat': payloads.whole(
        payloads.repeated(b'{"x":[', b'[],', LARGE_BYTES, b'[]]}'), BEAT
    ),
}
FEW_WHOLE = 4
READERS = 200
CASES = [(port, name) for port in CROWDS for name in CROWDS[port]]


async def _takes_orders(system, padding_bytes=4096, host=None):
    """Return whether the host takes a configuration and a heartbeat.

    Both go to this host alone, which hands them to the leader. By default, it
    is the first control host.
    """
    system.version += 1
    body = json.dumps(
        {
            **json.loads(world_module.routes(system.version)),
            'note': 'n' * padding_bytes,
        }
    )
    address = system_module.address_of(host or system.control, 'public_listen')
    runner = system.world.runners[0]
    beat = runner.heartbeat(1_000_000 + system.version).decode()
    for path, text in (
        ('/api/config', body),
        (f'/api/instances/{runner.name}', beat),
    ):
        request = (
            f'PUT {path} HTTP/1.1\r\nHost: h.example\r\n'
            f'Content-Type: application/json\r\nConnection: close\r\n'
            f'Content-Length: {len(text)}\r\n\r\n{text}'
        )
        if not await system_module.has_status(address, request.encode(), 200):
            return False
    return True


def _press(tmp_path, ports, payload, count, **options):
    async def work():
        async with system_module.System(tmp_path, **options) as system:
            return await system_module.press(
                system.control,
                ports,
                payload,
                count,
                lambda: _takes_orders(system),
            )

    watch = asyncio.run(work())
    print(watch)
    return watch


def _check(watch, descriptors=system_module.MAX_DESCRIPTORS):
    assert watch.peak_mb < system_module.CONTROL_MB
    free = system_module.FREE_DESCRIPTORS
    assert watch.peak_descriptors <= descriptors - free


# Guards against strangers that end a control host by its memory, or keep it
# from operators, runners and members.
@pytest.mark.parametrize(('port', 'name'), CASES)
def test_requests_without_an_end(tmp_path, port, name):
    payload, count = CROWDS[port][name]
    _check(_press(tmp_path, [port], payload, count))


# Guards against strangers that keep out the largest configuration.
@pytest.mark.parametrize('leads', [True, False])
def test_a_large_configuration_arrives_beside_a_crowd(tmp_path, leads):
    payload = payloads.one_byte_short(LARGE_BYTES, PUBLIC)
    control_body_bytes = 64 << 20

    async def work():
        async with system_module.System(
            tmp_path, control_body_bytes=control_body_bytes
        ) as system:
            host = system.control_host(leads)
            return await system_module.press(
                host,
                ['public_listen'],
                payload,
                FEW,
                lambda: _takes_orders(system, LARGE_BYTES, host),
            )

    watch = asyncio.run(work())
    print(watch)
    _check(watch)


# Guards against requests that take many times their size to read.
@pytest.mark.parametrize('name', WHOLE)
def test_requests_that_are_hard_to_read(tmp_path, name):
    _check(_press(tmp_path, ['public_listen'], WHOLE[name], FEW_WHOLE))


# Guards against answers that are made for clients that do not take them.
def test_answers_that_are_not_taken(tmp_path):
    payload = b'GET /api/config HTTP/1.1\r\nHost: h.example\r\n\r\n'

    async def work():
        async with system_module.System(tmp_path, padding_bytes=4 << 20) as s:
            return await system_module.press(
                s.control,
                ['public_listen'],
                payload,
                READERS,
                lambda: _takes_orders(s),
            )

    watch = asyncio.run(work())
    print(watch)
    _check(watch)


# Guards against connections that take the descriptors of members.
def test_connections_that_send_nothing(tmp_path):
    watch = _press(
        tmp_path, list(CROWDS), b'', TOO_MANY, descriptors=FEW_DESCRIPTORS
    )
    _check(watch, FEW_DESCRIPTORS)
