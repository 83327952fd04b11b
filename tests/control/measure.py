"""Measures the control log on this machine's disk.

Run by hand: ``python -m tests.control.measure --folder DIR``.
"""

import argparse
import asyncio
import pathlib
import resource
import statistics
import tempfile
import time

from limpetroute import agreement
from limpetroute.border import manifest as manifest_module
from limpetroute.control import commands
from limpetroute.control import control_state
from limpetroute.control import data_folder
from limpetroute.control import group as group_module
from limpetroute.control import journal as journal_module
from tests.control import control_fleet

ENTRIES = 100_000
TEAMS = 13_000
MODELS = 35
RUN_S = 6.0


def _claim(number):
    return commands.MakeClaim(
        team='bank',
        key=f'release-{number}',
        body_digest='0' * 64,
        holder='entry-1',
        token=f'{number:024x}',
        at_s=1.0,
    )


def manifest():
    return manifest_module.ManifestBody.model_validate(
        {
            'number': 1,
            'models': [
                {'name': f'model-{n}', 'version': '1'} for n in range(MODELS)
            ],
            'teams': [
                {'name': f'team-{n}', 'token_sha256': f'{n:064x}'}
                for n in range(TEAMS)
            ],
        }
    )


def replay(folder):
    opened = data_folder.DataFolder(folder=folder, host_id='c1')
    for start in range(1, ENTRIES, 1000):
        entries = tuple(
            agreement.Entry(
                index=index, term=1, data=commands.encode(_claim(index))
            )
            for index in range(start, start + 1000)
        )
        opened.journal.write(
            [
                journal_module.GroupWrites(
                    group=1,
                    write_id=start,
                    writes=(agreement.SaveEntries(entries=entries),),
                )
            ]
        )
    opened.close()
    size = (folder / 'journal').stat().st_size
    began_s = time.perf_counter()
    opened = data_folder.DataFolder(folder=folder, host_id='c1')
    saved = opened.saved(1)
    read_s = time.perf_counter() - began_s
    state = control_state.ControlState(max_claim_bytes=1 << 30)
    for entry in saved.entries:
        state.apply(commands.decode(entry.data), entry.index)
    whole_s = time.perf_counter() - began_s
    opened.close()
    print(
        f'replay of {len(saved.entries)} entries ({size} bytes): journal '
        f'{read_s:.2f} s, with applying {whole_s:.2f} s'
    )
    dump = state.dump()
    began_s = time.perf_counter()
    state.dump()
    print(
        f'snapshot of {len(state.claims)} claims: {len(dump)} bytes, dump '
        f'{time.perf_counter() - began_s:.2f} s'
    )


def snapshot():
    body = manifest()
    state = control_state.ControlState(max_claim_bytes=1 << 20)
    state.apply(
        commands.SubmitManifest(
            number=1,
            digest=body.digest,
            sender='',
            text=body.model_dump_json(),
        ),
        1,
    )
    began_s = time.perf_counter()
    data = state.dump()
    dump_s = time.perf_counter() - began_s
    began_s = time.perf_counter()
    control_state.ControlState(max_claim_bytes=1 << 20).load(data)
    load_s = time.perf_counter() - began_s
    began_s = time.perf_counter()
    manifest_module.ManifestBody.model_validate_json(body.model_dump_json())
    check_s = time.perf_counter() - began_s
    print(
        f'snapshot of {TEAMS} teams and {MODELS} models: {len(data)} bytes, '
        f'dump {dump_s * 1e3:.1f} ms, load {load_s * 1e3:.1f} ms, '
        f'manifest check {check_s * 1e3:.0f} ms'
    )


class OneByOne(group_module.Group):
    """A group that gives each command its own message, write and sync."""

    def _propose(self):
        waiting = self._proposals
        for one in waiting:
            self._proposals = [one]
            super()._propose()


async def one_disk(folder, max_batch):
    """Commit claims on one host; return claims and syncs per second."""
    fleet = control_fleet.ControlFleet(folder, hosts=('c1',))
    grouped = group_module.Group
    if max_batch is not None:
        group_module.Group = OneByOne
    fleet.start('c1', max_batch=max_batch)
    await fleet.ready()
    group = fleet.servers['c1'].node.groups[1]
    until_s = time.monotonic() + RUN_S
    done = 0

    async def work(worker):
        nonlocal done
        number = 0
        while time.monotonic() < until_s:
            number += 1
            await group.commit(_claim(f'{worker}{number:012d}'), 5.0)
            done += 1

    def _claim(key):
        return commands.MakeClaim(
            team='bank',
            key=key,
            body_digest='0' * 64,
            holder='entry-1',
            token=key,
            at_s=1.0,
        )

    await asyncio.gather(*(work(f'{one:03d}') for one in range(128)))
    syncs = fleet.servers['c1'].node.syncs
    await fleet.stop('c1')
    group_module.Group = grouped
    return done / RUN_S, syncs / RUN_S


async def latency(folder):
    async with control_fleet.running(folder) as fleet:
        store = fleet.store()
        for workers in (1, 16):
            took_s = []

            async def work(worker, count, took_s=took_s):
                for number in range(count):
                    began_s = time.perf_counter()
                    await store.claim(
                        team='t',
                        key=f'{worker}-{number}-{count}',
                        body_digest='d',
                        holder='h',
                        timeout_s=5.0,
                    )
                    took_s.append(time.perf_counter() - began_s)

            began_s = time.perf_counter()
            count = 1600 // workers
            await asyncio.gather(*(work(w, count) for w in range(workers)))
            rate = len(took_s) / (time.perf_counter() - began_s)
            cuts = statistics.quantiles(took_s, n=100)
            print(
                f'claims over HTTP, 3 hosts, {workers} at once: '
                f'{rate:.0f}/s, median {cuts[49] * 1e3:.1f} ms, '
                f'99th {cuts[98] * 1e3:.1f} ms'
            )


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument('--folder', type=pathlib.Path, default=None)
    args = parser.parse_args()
    with tempfile.TemporaryDirectory(dir=args.folder) as name:
        folder = pathlib.Path(name)
        replay(folder / 'replay')
        snapshot()
        grouped, syncs = asyncio.run(one_disk(folder / 'grouped', None))
        single, _ = asyncio.run(one_disk(folder / 'single', 1))
        print(
            f'one host, 128 at once: {grouped:.0f} claims/s with group '
            f'commit ({syncs:.0f} syncs/s), {single:.0f} with one sync '
            f'each: {grouped / single:.1f} times'
        )
        asyncio.run(latency(folder / 'latency'))
    peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // 1024
    print(f'peak memory of all this in one process: {peak} MB')


if __name__ == '__main__':
    main()
