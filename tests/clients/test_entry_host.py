"""Clients that don't behave, at the ports of an entry host."""

import asyncio

import pytest

from tests.clients import payloads
from tests.clients import system as system_module

COUNT = 400
FEW = 40
FEW_DESCRIPTORS = 256
# More connections than a process with so few descriptors can hold.
TOO_MANY = 300

CROWDS = {
    'one chunk': (payloads.open_chunk(58_000), COUNT),
    'one byte short': (payloads.one_byte_short(58_000), COUNT),
    'one chunk, large': (payloads.open_chunk(3_900_000), FEW),
    'one byte short, large': (payloads.one_byte_short(3_900_000), FEW),
    'many fields': (payloads.many_fields(1000, 4096), COUNT),
    'one byte a chunk': (payloads.small_chunks(1, 40_000), COUNT),
    '16 bytes a chunk': (payloads.small_chunks(16, 400_000), 200),
    'open head': (payloads.open_head(60_000), COUNT),
    'announced, too long': (payloads.announced(300 << 20, 8 << 20), FEW),
    'a chunk of a terabyte': (payloads.endless_chunk(8 << 20), FEW),
    'too many chunks': (payloads.small_chunks(65_536, 16 << 20), FEW),
    'second request at once': (payloads.followed(1 << 20), COUNT),
}
START = 'POST /v1/preview HTTP/1.1\r\nHost: h.example\r\n'
# Ports that no caller is told of.
OTHERS = {
    'peers': {
        'one byte short': (payloads.one_byte_short(58_000), COUNT),
        'many fields': (payloads.many_fields(1000, 4096), COUNT),
    },
    'ready': {
        'chunks': (payloads.small_chunks(65_536, 8 << 20, START), FEW),
        'many fields': (payloads.many_fields(1000, 4096, START), COUNT),
    },
    'metrics': {
        'one byte short': (payloads.one_byte_short(8 << 20, START), FEW),
        'open head': (payloads.open_head(60_000, START), COUNT),
    },
}
CASES = [(port, name) for port in OTHERS for name in OTHERS[port]]


def _press(tmp_path, ports, payload, count, **options):
    """Return what the host used, and the requests that ran."""

    async def work():
        async with system_module.System(tmp_path, **options) as system:
            callers = system_module.address_of(system.entry, 'callers')
            watch = await system_module.press(
                system.entry,
                ports,
                payload,
                count,
                lambda: system_module.is_served(callers),
            )
            ran = {name for one in system.world.runners for name in one.runs}
            return watch, ran

    watch, ran = asyncio.run(work())
    print(watch)
    return watch, ran


def _check(watch, descriptors=system_module.MAX_DESCRIPTORS):
    assert watch.peak_mb < system_module.ENTRY_MB
    free = system_module.FREE_DESCRIPTORS
    assert watch.peak_descriptors <= descriptors - free


# Guards against callers that end the process by its memory, or keep its event
# loop from others, with requests that never end.
@pytest.mark.parametrize('name', CROWDS)
def test_callers_that_send_requests_without_an_end(tmp_path, name):
    payload, count = CROWDS[name]
    watch, ran = _press(tmp_path, ['callers'], payload, count)
    _check(watch)
    assert payloads.ENDLESS not in ran


# Guards against requests without an end at ports that have no limits.
@pytest.mark.parametrize(('port', 'name'), CASES)
def test_requests_without_an_end_at_other_ports(tmp_path, port, name):
    payload, count = OTHERS[port][name]
    watch, ran = _press(tmp_path, [port], payload, count)
    _check(watch)
    assert payloads.ENDLESS not in ran


# Guards against connections that take all descriptors of the process.
def test_connections_that_send_nothing(tmp_path):
    watch, _ = _press(
        tmp_path,
        ['callers', 'peers', 'ready', 'metrics'],
        b'',
        TOO_MANY,
        descriptors=FEW_DESCRIPTORS,
    )
    _check(watch, FEW_DESCRIPTORS)
