"""Measures a burst on seven hosts, without and with leases.

Without leases, each host counts a runner's capacity on its own.
``python -m tests.peers.oversubscription_run`` prints one line for each
of the two cases.
"""

import asyncio
import collections
import json
import pathlib
import sys
import tempfile
import time

from tests.peers import fleet as fleet_module


async def _burst(fleet, *, count, words, gap_s):
    """Return the number of complete answers and the times to first token."""
    first_s = []

    async def one(number):
        await asyncio.sleep(number * gap_s)
        reader = fleet_module.Reader(
            fleet,
            prompt=f'Dossier {number}\nbody ' + 'x' * 400,
            key=f'{count}-{number}',
            words=words,
        )
        started_s = time.monotonic()
        first_token_task = asyncio.create_task(
            _first_token(reader, started_s, first_s)
        )
        await reader.read(fleet.hosts[number % len(fleet.hosts)])
        first_token_task.cancel()
        return reader

    readers = await asyncio.gather(*(one(number) for number in range(count)))
    first_s.sort()
    return sum(reader.done for reader in readers), first_s


async def _first_token(reader, started_s, first_s):
    while not reader.texts:
        await asyncio.sleep(0.002)
    first_s.append(time.monotonic() - started_s)


def _totals(fleet):
    totals = collections.Counter()
    for name in fleet.runners:
        totals.update(fleet.counts(name)['counts'])
    return dict(totals)


def _calls(fleet):
    totals = collections.Counter()
    for name in fleet.hosts:
        totals.update(fleet.status(name).get('calls', {}))
    return totals


async def _measure(fleet):
    if fleet.alone:
        await asyncio.sleep(3)
    else:
        await fleet.until_ready()
    before = _calls(fleet)
    _, light_s = await _burst(fleet, count=100, words=10, gap_s=0.1)
    calls = _calls(fleet) - before
    done, _ = await _burst(fleet, count=300, words=60, gap_s=0.02)
    return {
        'alone': fleet.alone,
        'light_first_token_p50_s': light_s[len(light_s) // 2],
        'light_first_token_p95_s': light_s[int(len(light_s) * 0.95)],
        'light_calls_a_request': {
            name: calls[name] / 100
            for name in ('grants', 'copies', 'lookup', 'claims')
        },
        'burst_whole_of_300': done,
        'totals': _totals(fleet),
    }


def main():
    for alone in (True, False):
        with tempfile.TemporaryDirectory() as folder:
            fleet = fleet_module.Fleet(pathlib.Path(folder), alone=alone)
            try:
                fleet.start()
                print(json.dumps(asyncio.run(_measure(fleet))), flush=True)
            finally:
                fleet.stop()
    return 0


if __name__ == '__main__':
    sys.exit(main())
