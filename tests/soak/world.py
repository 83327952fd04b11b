"""Real processes on loopback addresses, runners, callers, an operator."""

import asyncio
import json
import os
import pathlib
import random
import shutil
import signal
import subprocess
import sys

from limpetroute.wire import call_failed
from limpetroute.wire import caller
from tests.soak import core_links
from tests.soak import runner as runner_module
from tests.whole_path import port_pool

ROOT = pathlib.Path(__file__).resolve().parents[2]
CONTROLS = 3
FORWARDS = 2
# Services whose runners keep an ordered stage for a moment only. Without a
# decode runner an order follows each change at once, else some time later.
SWINGS = (
    *(('prefill', 'prefill'),) * 2,
    *(('prefill', 'prefill', 'decode'),) * 6,
)
REVERTS_S = 0.4
# Timeouts of routes that leave little time after a connect that fails.
BRIEF_TIMEOUTS_MS = (450, 500, 600)
# Part of their orders that they carry out late, and do not answer.
DEFERRED_SHARE = 0.4


class Process:
    """One daemon; only what was started here is ever signalled."""

    def __init__(self, command, name, settings, folder):
        self.name = name
        self._command = command
        self._path = folder / f'{name}.json'
        self._log = folder / f'{name}.log'
        self._path.write_text(json.dumps(settings))
        self._popen = None
        self._told_to_stop = False

    @property
    def listen_port(self):
        """Port at which a control host serves other hosts."""
        return int(self.settings['listen'].rpartition(':')[2])

    @property
    def settings(self):
        return json.loads(self._path.read_text())

    @property
    def runs(self):
        """Whether it was started and has not ended."""
        return self._popen is not None and self._popen.poll() is None

    @property
    def pid(self):
        return self._popen.pid

    @property
    def stopping(self):
        """Whether it was told to stop and has not ended."""
        return self._told_to_stop and self.runs

    def start(self):
        if self.runs:
            return
        self._told_to_stop = False
        with self._log.open('ab') as log:
            self._popen = subprocess.Popen(
                [
                    sys.executable,
                    '-m',
                    'limpetroute',
                    self._command,
                    '--settings',
                    str(self._path),
                ],
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env={**os.environ, 'PYTHONPATH': str(ROOT)},
            )

    def change(self, **fields):
        body = {**self.settings, **fields}
        self._path.write_text(json.dumps(body))

    def send(self, number):
        if self.runs:
            self._popen.send_signal(number)
            self._told_to_stop |= number == signal.SIGTERM

    def end(self):
        if self.runs:
            self._popen.kill()
            self._popen.wait()

    def log(self):
        return self._log.read_text()


class World:
    def __init__(
        self, folder, base, versions=('v1', 'v1'), *, has_orders=False
    ):
        """Start nothing yet; ``versions`` has one of each decode runner.

        With ``has_orders``, some more runners need orders all the time, and
        links between control hosts can be cut.
        """
        self.base = base
        port = port_pool.free_port()
        public = port_pool.free_port()
        self.http = caller.Caller()
        self._folder = folder
        self._control_port = port
        self._public_port = public
        self._control_hosts = CONTROLS
        hosts = [f'127.{base}.1.{n + 1}' for n in range(CONTROLS)]
        seeds = [f'{host}:{public}' for host in hosts]
        self.core_links = None
        if has_orders:
            self.core_links = core_links.CoreLinks(
                targets={host: _behind(host) for host in hosts}, port=port
            )
        self.controls = [self._control(host, seeds) for host in hosts]
        self.forwards = []
        self.entry_urls = []
        for number in range(FORWARDS):
            host = f'127.{base}.2.{number + 1}'
            self.entry_urls.append((host, public))
            settings = {
                'host_id': f'entry-{number}',
                'zone': 'a',
                'demo': True,
                'callers': f'{host}:{public}',
                'ready': f'{host}:{port}',
                'metrics': f'{host}:0',
                'peers': f'{host}:0',
                'seeds': seeds,
                'control_port': port,
                'grace_s': 5.0,
                'send_budget': {'ratio': 1.0, 'slack': 50},
            }
            process = Process('forward', f'entry-{number}', settings, folder)
            self.forwards.append(process)
        self.runners = [
            runner_module.Runner('p1', 'plain'),
            runner_module.Runner('p2', 'plain'),
            runner_module.Runner('p3', 'plain'),
        ]
        self.decodes = [
            runner_module.Runner(f'd{n}', 'model', 'decode', version)
            for n, version in enumerate(versions, 1)
        ]
        self.runners += self.decodes
        self.swings = []
        if has_orders:
            self.swings = [
                runner_module.Runner(f's{n}{m}', f'swing{n}', stage)
                for n, stages in enumerate(SWINGS)
                for m, stage in enumerate(stages)
            ]
        rng = random.Random(base)
        for one in self.swings:
            one.reverts_s = REVERTS_S
            one.defers = lambda: rng.random() < DEFERRED_SHARE
        self.runners += self.swings
        self._beats = {}

    @property
    def control_urls(self):
        return [
            f'http://{one.settings["public_listen"]}' for one in self.controls
        ]

    def _control(self, host, seeds, *, may_found=True):
        settings = {
            'host_id': host,
            'zone': 'a',
            'demo': True,
            'data_dir': str(self._folder / f'data-{host}'),
            'listen': f'{host}:{self._control_port}',
            'public_listen': f'{host}:{self._public_port}',
            'seeds': seeds,
            'tolerated_losses': 1,
            'may_found': may_found,
            'heartbeat_s': 0.15,
            'election_s': 0.6,
        }
        if self.core_links is not None:
            settings['listen'] = f'{_behind(host)}:{self._control_port}'
            settings['advertise_url'] = f'http://{host}:{self._control_port}'
        return Process('control', host, settings, self._folder)

    def lose_control(self, number):
        """End a control host for good, with its disk."""
        process = self.controls[number]
        process.end()
        shutil.rmtree(process.settings['data_dir'])

    def replace_control(self, number):
        """Start an empty control host, at another address."""
        self._control_hosts += 1
        host = f'127.{self.base}.1.{self._control_hosts}'
        self.controls[number] = self._control(host, [], may_found=False)
        seeds = [one.settings['public_listen'] for one in self.controls]
        for process in [*self.controls, *self.forwards]:
            process.change(seeds=seeds)
        self.controls[number].start()

    async def answers(self, number):
        """Return whether a control host answers at all."""
        got = await self.http.call(
            method='GET',
            url=f'{self.control_urls[number]}/api/config',
            timeout_s=1.0,
        )
        return not isinstance(got, call_failed.CallFailed)

    async def start_runners(self):
        for number, one in enumerate(self.runners):
            await one.start(f'127.{self.base}.3.{number + 1}')

    async def start(self):
        if not self.runners[0].address:
            await self.start_runners()
        if self.core_links is not None:
            await self.core_links.start()
        for process in [*self.controls, *self.forwards]:
            process.start()

    def end(self):
        for process in [*self.controls, *self.forwards]:
            process.send(signal.SIGCONT)
            process.end()
        for one in self.runners:
            one.close()
        if self.core_links is not None:
            self.core_links.close()

    async def to_control(self, method, path, body=None, first=0):
        """Call one control host after the other, as an operator does."""
        for number in range(CONTROLS):
            url = self.control_urls[(first + number) % CONTROLS]
            got = await self.http.call(
                method=method,
                url=f'{url}{path}',
                body=body,
                timeout_s=1.0,
                connect_tries_s=(0.3,),
            )
            if not isinstance(got, call_failed.CallFailed) and got.ok:
                return got
        return None

    async def all_answer(self):
        """Start what has ended; whether all control hosts are sure."""
        for process in [*self.controls, *self.forwards]:
            process.start()
        for url in self.control_urls:
            got = await self.http.call(
                method='GET', url=f'{url}/api/config', timeout_s=1.0
            )
            if isinstance(got, call_failed.CallFailed) or not got.ok:
                return False
        return True

    async def none_stops(self):
        """Return whether all that were told to stop have ended."""
        processes = [*self.controls, *self.forwards]
        return not any(process.stopping for process in processes)

    async def beat(self, one):
        """Send a heartbeat; whether it was acknowledged."""
        number = self._beats.get(one.name, 0) + 1
        self._beats[one.name] = number
        path = f'/api/instances/{one.name}'
        got = await self.to_control('PUT', path, one.heartbeat(number), number)
        return got is not None


def routes(
    version,
    others=0,
    teams=None,
    *,
    has_swings=False,
    brief=False,
    padding_bytes=0,
):
    """A configuration; each version has a route of its own, and others.

    ``teams`` is the list of the teams, if callers need keys. With
    ``has_swings``, there are the services whose runners need orders, and
    with ``brief``, the routes of brief calls. A note of ``padding_bytes``
    makes the configuration large.
    """
    common = {'host': 'h.example', 'timeout-ms': 4000, 'slo-ms': 900}
    found = [
        {**common, 'path-prefix': '/once/', 'kind': 'non_idempotent'},
        {**common, 'path-prefix': '/safe/', 'kind': 'idempotent'},
    ]
    long = {**found[0], 'path-prefix': '/long/', 'timeout-ms': 2000}
    found.append(long)
    for number, timeout_ms in enumerate(BRIEF_TIMEOUTS_MS if brief else ()):
        for kind in found[:2]:
            found.append(
                {
                    **kind,
                    'path-prefix': f'/brief{number}{kind["path-prefix"]}',
                    'timeout-ms': timeout_ms,
                }
            )
    for route in found:
        route.update({'service': 'plain', 'attempts': 2})
    found.append(
        {
            **common,
            'path-prefix': '/stream/',
            'kind': 'streaming',
            'service': 'model',
            'attempts': 2,
            'resumable': True,
        }
    )
    found.append({**found[1], 'path-prefix': f'/v{version}/'})
    for number in range(others):
        found.append({**found[1], 'path-prefix': f'/other{number}/'})
    engine = {'slots': 12, 'kv-capacity': 100_000, 'stride': 10}
    body = {
        'version': version,
        'routes': found,
        'services': [
            {'name': 'plain'},
            {'name': 'model', 'engine': engine},
        ],
    }
    for number in range(len(SWINGS) if has_swings else 0):
        swing = {'name': f'swing{number}', 'engine': engine}
        body['services'].append(swing)
    if teams is not None:
        body['tenants'] = teams
    if padding_bytes:
        body['note'] = 'n' * padding_bytes
    return json.dumps(body).encode()


def _behind(host):
    """Return where a control host listens that others reach by a proxy."""
    first, second, _, last = host.split('.')
    return f'{first}.{second}.9.{last}'


async def wait_until(holds, seconds, what):
    try:
        async with asyncio.timeout(seconds):
            while not await holds():
                await asyncio.sleep(0.1)
    except TimeoutError:
        raise AssertionError(f'not within {seconds} s: {what}') from None
