"""Load and seeded random faults on a fleet of real processes.

``python -m tests.peers.failure_run --seconds 120 --seed 1`` runs it
outside CI and prints the counts as JSON. ``--logs FOLDER`` keeps the logs
of all processes. ``--words 150 400 --freeze-s 5 14`` plays long answers
whose hosts freeze for longer than a takeover takes.
"""

import argparse
import asyncio
import collections
import contextlib
import json
import pathlib
import random
import signal
import sys
import tempfile
import urllib.request

from limpetroute.standins import answer_text
from tests.peers import fleet as fleet_module
from tests.whole_path import processes

CALLERS = 24
MAX_DOWN = 2
WORDS = (10, 90)
FREEZE_S = (1.0, 8.0)
READ_TIMEOUT_S = 45


class FailureRun:
    """Runs callers that resume at other hosts, and injects faults."""

    def __init__(
        self, fleet, *, seed, seconds, words=WORDS, freeze_s=FREEZE_S
    ):
        self.fleet = fleet
        self.words = words
        self.freeze_s = freeze_s
        self.rng = random.Random(seed)
        self.seconds = seconds
        self.counts = collections.Counter()
        self.faults = []
        self.errors = []
        self.down = set()
        self.faulty_runners = set()
        self.number = 0

    async def run(self):
        await self.fleet.until_ready()
        loop = asyncio.get_running_loop()
        self.until_s = loop.time() + self.seconds
        callers = [asyncio.create_task(self._caller()) for _ in range(CALLERS)]
        faults = asyncio.create_task(self._faults())
        await asyncio.gather(*callers)
        try:
            await faults
        except processes.NotReadyError as exc:
            # A host that did not start is no lost answer.
            exc.add_note(f'counts until then: {dict(self.counts)}')
            raise
        await self._check_runners()
        return {
            **{name: self.counts[name] for name in COUNTED},
            **self.counts,
            'faults': self.faults,
            'wrong': self.errors[:5],
        }

    def _host(self):
        names = [name for name in self.fleet.hosts if name not in self.down]
        return self.rng.choice(names)

    async def _caller(self):
        loop = asyncio.get_running_loop()
        while loop.time() < self.until_s:
            self.number += 1
            reader = fleet_module.Reader(
                self.fleet,
                prompt=f'Dossier {self.number}\nOf some length.',
                key=f'key-{self.number}',
                words=self.rng.randrange(*self.words),
            )
            self.counts['requests'] += 1
            if self.rng.random() < 0.05:
                await reader.read(self._host(), limit=3)
                self.counts['cancelled'] += 1
                continue
            await self._read_whole(reader)
            await asyncio.sleep(self.rng.random() * 0.2)

    async def _read_whole(self, reader):
        loop = asyncio.get_running_loop()
        due_s = loop.time() + READ_TIMEOUT_S
        tries = 0
        while loop.time() < due_s:
            before = len(reader.texts)
            await reader.read(self._host())
            tries += 1
            if reader.done:
                break
            if self._must_start_over(reader):
                # The caller must discard its events, or the answer would
                # be spliced from two runs.
                self.counts['started_over'] += 1
                reader.texts.clear()
                reader.ids.clear()
            if len(reader.texts) == before:
                await asyncio.sleep(0.3)
        self.counts['resumes'] += tries - 1
        self._check_answer(reader)

    @staticmethod
    def _must_start_over(reader):
        text = reader.error or b''
        if isinstance(text, dict):
            text = json.dumps(text).encode()
        return b'start_over' in text or b'start over' in text

    def _check_answer(self, reader):
        expected = answer_text.whole_answer(
            reader.body['prompt'], reader.words
        )
        tag = answer_text.tag_of(reader.body['prompt'])
        if any(not word.startswith(tag) for word in reader.texts):
            self._record_error('crossed', reader)
        if len(set(reader.ids)) != len(reader.ids):
            self._record_error('doubled', reader)
        if not reader.done:
            self._record_error('lost', reader)
            return
        if reader.text != expected:
            self._record_error('torn', reader)
            return
        self.counts['whole'] += 1

    def _record_error(self, kind, reader):
        self.counts[kind] += 1
        self.errors.append(
            [kind, reader.key, reader.status, str(reader.error)[:200]]
        )

    # -- faults

    async def _faults(self):
        loop = asyncio.get_running_loop()
        tasks = []
        while loop.time() < self.until_s - 4:
            await asyncio.sleep(self.rng.uniform(2.0, 4.0))
            count = 2 if self.rng.random() < 0.25 else 1
            for _ in range(count):
                kind = self.rng.choice(
                    [
                        self._kill_host,
                        self._freeze_host,
                        self._kill_runner,
                        self._break_decode,
                        self._stall_runner,
                    ]
                )
                tasks.append(asyncio.create_task(kind()))
        await asyncio.gather(*tasks)

    def _choose_host_to_fault(self):
        names = [name for name in self.fleet.hosts if name not in self.down]
        if len(self.down) >= MAX_DOWN:
            return None
        name = self.rng.choice(names)
        self.down.add(name)
        return name

    async def _kill_host(self):
        name = self._choose_host_to_fault()
        if name is None:
            return
        self.faults.append(f'kill {name}')
        self.fleet.kill(name)
        await asyncio.sleep(self.rng.uniform(0.5, 5.0))
        await asyncio.to_thread(self.fleet.start_host, name)
        self.down.discard(name)

    async def _freeze_host(self):
        name = self._choose_host_to_fault()
        if name is None:
            return
        self.faults.append(f'freeze {name}')
        self.fleet.send(name, signal.SIGSTOP)
        await asyncio.sleep(self.rng.uniform(*self.freeze_s))
        self.fleet.send(name, signal.SIGCONT)
        self.down.discard(name)

    async def _kill_runner(self):
        name = self.rng.choice(self.fleet.runners)
        if name in self.faulty_runners:
            return
        self.faulty_runners.add(name)
        self.faults.append(f'kill {name}')
        self.fleet.kill(name)
        await asyncio.sleep(self.rng.uniform(0.2, 2.0))
        await asyncio.to_thread(self.fleet.start_runner, name)
        self.faulty_runners.discard(name)

    async def _break_decode(self):
        await self._set_faults({'fail_decode_after': 5})

    async def _stall_runner(self):
        await self._set_faults({'silent': True})

    async def _set_faults(self, faults):
        name = self.rng.choice(self.fleet.decodes())
        if name in self.faulty_runners:
            return
        self.faulty_runners.add(name)
        self.faults.append(f'{faults} {name}')
        await asyncio.to_thread(self._post_faults, name, faults)
        await asyncio.sleep(self.rng.uniform(0.5, 2.0))
        await asyncio.to_thread(self._post_faults, name, {})
        self.faulty_runners.discard(name)

    def _post_faults(self, name, faults):
        port = self.fleet.runner_ports[name]
        request = urllib.request.Request(
            f'http://127.0.0.1:{port}/v1/faults',
            json.dumps(faults).encode(),
        )
        with contextlib.suppress(OSError):
            urllib.request.urlopen(request, timeout=2).close()

    # -- counts of the runners

    async def _check_runners(self):
        def idle():
            return not any(
                self.fleet.counts(name)['active']
                for name in self.fleet.decodes()
            )

        try:
            await self.fleet.until(
                idle, seconds=20, what='no run left at a runner'
            )
        except AssertionError:
            self.counts['kv_held'] += 1
        for name in self.fleet.decodes():
            counts = self.fleet.counts(name)
            # A killed runner has lost its earlier counts.
            self.counts['over_asked'] += counts['counts'].get('over_asked', 0)
            self.counts['started_twice'] += sum(
                count > 1 for count in counts['run_starts'].values()
            )
        for name in self.fleet.hosts:
            status = self.fleet.status(name)
            self.counts['taken_over'] += status['taken_over']
            self.counts['reaped'] += status['reaped']


COUNTED = (
    'requests',
    'whole',
    'lost',
    'doubled',
    'torn',
    'crossed',
    'kv_held',
    'over_asked',
    'started_twice',
)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seconds', type=float, default=120)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--logs', type=pathlib.Path)
    parser.add_argument('--words', type=int, nargs=2, default=WORDS)
    parser.add_argument('--freeze-s', type=float, nargs=2, default=FREEZE_S)
    args = parser.parse_args()
    with tempfile.TemporaryDirectory() as temporary:
        folder = args.logs or pathlib.Path(temporary)
        folder.mkdir(parents=True, exist_ok=True)
        fleet = fleet_module.Fleet(folder)
        try:
            fleet.start()
            run = FailureRun(
                fleet,
                seed=args.seed,
                seconds=args.seconds,
                words=args.words,
                freeze_s=args.freeze_s,
            )
            result = asyncio.run(run.run())
        finally:
            fleet.stop()
    print(json.dumps(result, indent=1))
    return 0


if __name__ == '__main__':
    sys.exit(main())
