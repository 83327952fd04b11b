"""Measures CPU time, memory and latency of control processes.

Run by hand: ``python -m tests.control.measure_processes --folder DIR``.
"""

import argparse
import asyncio
import os
import pathlib
import statistics
import tempfile
import time

from limpetroute.control import http_claim_store
from tests.control import measure
from tests.control import process_fleet

ENTRIES = 7
IDLE_S = 10.0
LOAD_S = 5.0
TICKS_PER_S = os.sysconf('SC_CLK_TCK')


def cpu_s(pid):
    fields = pathlib.Path(f'/proc/{pid}/stat').read_text().rsplit(')')[1]
    words = fields.split()
    return (int(words[11]) + int(words[12])) / TICKS_PER_S


def memory_mb(pid):
    for line in pathlib.Path(f'/proc/{pid}/status').read_text().splitlines():
        if line.startswith('VmRSS'):
            return int(line.split()[1]) // 1024
    return 0


async def idle(fleet, when):
    await fleet.leader(0)
    await asyncio.sleep(2.0)
    pids = {name: one.pid for name, one in fleet.running.items()}
    before = {name: cpu_s(pid) for name, pid in pids.items()}
    await asyncio.sleep(IDLE_S)
    for name in ('c0', 'c1', 'c2', 'e0'):
        share = (cpu_s(pids[name]) - before[name]) / IDLE_S
        print(
            f'{when}, {name}: {share:.1%} of a core, '
            f'{memory_mb(pids[name])} MB'
        )


async def claims(fleet, workers):
    store = http_claim_store.HttpClaimStore(client=fleet.client())
    took_s = []
    until_s = time.monotonic() + LOAD_S

    async def work(worker):
        number = 0
        while time.monotonic() < until_s:
            number += 1
            began_s = time.perf_counter()
            await store.claim(
                team='t',
                key=f'{workers}-{worker}-{number}',
                body_digest='d',
                holder='h',
                timeout_s=5.0,
            )
            took_s.append(time.perf_counter() - began_s)

    await asyncio.gather(*(work(worker) for worker in range(workers)))
    cuts = statistics.quantiles(took_s, n=100)
    print(
        f'{workers} claims at once: {len(took_s) / LOAD_S:.0f}/s, median '
        f'{cuts[49] * 1e3:.1f} ms, 99th {cuts[98] * 1e3:.1f} ms'
    )


async def run(fleet):
    await idle(fleet, 'idle')
    for workers in (1, 8, 32):
        await claims(fleet, workers)
    body = measure.manifest().model_dump_json().encode()
    began_s = time.monotonic()
    got = await fleet.client().post(
        path='/v1/manifest?wait_s=15',
        body=body,
        timeout_s=30.0,
        server_wait_s=15.0,
    )
    took_s = time.monotonic() - began_s
    print(
        f'manifest of {measure.TEAMS} teams on {ENTRIES} hosts: '
        f'{took_s:.2f} s, in force: {got.body["in_force"]}'
    )
    await idle(fleet, 'with that manifest')


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument('--folder', type=pathlib.Path, default=None)
    args = parser.parse_args()
    with tempfile.TemporaryDirectory(dir=args.folder) as name:
        fleet = process_fleet.ProcessFleet(pathlib.Path(name), ENTRIES)
        try:
            asyncio.run(run(fleet))
        finally:
            fleet.stop()


if __name__ == '__main__':
    main()
