"""Control and entry hosts as processes that tests kill and freeze."""

import asyncio
import json
import signal
import time

from limpetroute.control import claim_store
from limpetroute.control import control_client
from limpetroute.control import http_claim_store
from limpetroute.wire import caller
from tests.whole_path import port_pool
from tests.whole_path import processes

CHECKS_AT_ONCE = 16
PAUSE_S = 0.02


class ProcessFleet:
    """Three control hosts and several entry hosts, one process each."""

    def __init__(self, folder, entries):
        self.folder = folder
        self.ports = {f'c{n}': port_pool.free_port() for n in range(3)}
        self.urls = {
            host: f'http://127.0.0.1:{port}'
            for host, port in self.ports.items()
        }
        self.running = {}
        self.starts = 0
        self.http = caller.Caller()
        self.entry_names = [f'e{number}' for number in range(entries)]
        for host in self.ports:
            self.start(host)
        for name in self.entry_names:
            self.start_entry(name)

    def start(self, host):
        body = {
            'host_id': host,
            'zone': 'evere',
            'demo': True,
            'data_dir': str(self.folder / host),
            'listen': {'port': self.ports[host]},
            'peer_urls': [u for h, u in self.urls.items() if h != host],
        }
        self._start('control', body, host)

    def start_entry(self, host):
        body = {
            'host_id': host,
            'zone': 'evere',
            'zones': ['evere'],
            'demo': True,
            'state_dir': str(self.folder / f'state-{host}'),
            'control_urls': list(self.urls.values()),
        }
        self._start('entry', body, host)

    def _start(self, command, body, name):
        self.starts += 1
        process = processes.Process(
            command, body, self.folder, f'{name}-{self.starts}'
        )
        process.wait_ready()
        self.running[name] = process

    def client(self):
        return control_client.ControlClient(
            urls=list(self.urls.values()),
            http=self.http,
            attempt_timeout_s=1.0,
        )

    async def status(self, host):
        got = await self.http.call(
            method='GET', url=f'{self.urls[host]}/v1/status', timeout_s=1.0
        )
        return got.json() if hasattr(got, 'json') else None

    async def leader(self, group):
        async with asyncio.timeout(20):
            while True:
                for host in self.ports:
                    body = await self.status(host)
                    if body and body['groups'][group]['role'] == 'leader':
                        if body['groups'][group]['in_touch']:
                            return host
                await asyncio.sleep(0.05)

    async def hosts_at(self, number, names):
        """Wait until the entry hosts report a revision."""
        async with asyncio.timeout(20):
            while True:
                body = await self.status(await self.leader(0))
                hosts = body['hosts'] if body else {}
                if all(
                    hosts.get(name, {}).get('number') == number
                    for name in names
                ):
                    return
                await asyncio.sleep(0.05)

    def stop(self):
        for process in self.running.values():
            process.send_signal(signal.SIGCONT)
            process.stop()


class Load:
    """Continuous claims and manifests, with a record of the acknowledged."""

    def __init__(self, fleet):
        self.store = http_claim_store.HttpClaimStore(client=fleet.client())
        self.client = fleet.client()
        self.granted = {}
        self.accepted = {}
        self.done_s = []
        self.stopping = False

    async def claims(self, name):
        number = 0
        while not self.stopping:
            number += 1
            key = f'{name}-{number}'
            got = await self.store.claim(
                team='bank',
                key=key,
                body_digest='d',
                holder=name,
                timeout_s=8.0,
            )
            if isinstance(got, claim_store.ClaimGranted):
                self.granted[key] = got.fence
                self.done_s.append(time.monotonic())
            await asyncio.sleep(PAUSE_S)

    async def manifests(self):
        number = 0
        while not self.stopping:
            number += 1
            got = await self.client.post(
                path='/v1/manifest',
                body={'number': number, 'sender': 'ci'},
                timeout_s=8.0,
            )
            if isinstance(got, control_client.Answered):
                assert got.body['outcome'] in ('accepted', 'stale'), got
                self.accepted[number] = got.body.get('digest')
            await asyncio.sleep(0.1)


async def kill_leaders(fleet, kills):
    """Kill the leader ``kills`` times.

    Returns the load and the seconds from each kill to the next commit.
    """
    load = Load(fleet)
    tasks = [asyncio.create_task(load.claims(f'h{n}')) for n in range(3)]
    tasks.append(asyncio.create_task(load.manifests()))
    waits_s = []
    for _ in range(kills):
        await asyncio.sleep(0.3)
        host = await fleet.leader(1)
        fleet.running[host].stop(signal.SIGKILL)
        killed_s = time.monotonic()
        async with asyncio.timeout(30):
            while not load.done_s or load.done_s[-1] < killed_s + 0.02:
                await asyncio.sleep(0.01)
        first = next(at for at in load.done_s if at >= killed_s + 0.02)
        waits_s.append(first - killed_s)
        fleet.start(host)
    load.stopping = True
    await asyncio.gather(*tasks)
    assert len(set(load.granted.values())) == len(load.granted)
    await check_granted(load)
    newest = max(load.accepted)
    again = await load.client.post(
        path='/v1/manifest', body={'number': newest - 1}, timeout_s=8.0
    )
    assert again.body['outcome'] == 'stale', again
    assert again.body['newest_number'] >= newest
    await fleet.hosts_at(again.body['newest_number'], fleet.entry_names)
    return load, waits_s


async def check_granted(load):
    """Check that every granted claim is found by another holder."""
    keys = list(load.granted)

    async def check():
        while keys:
            key = keys.pop()
            got = await load.store.claim(
                team='bank',
                key=key,
                body_digest='d',
                holder='check',
                timeout_s=8.0,
            )
            assert isinstance(got, claim_store.ClaimFound), (key, got)

    await asyncio.gather(*(check() for _ in range(CHECKS_AT_ONCE)))


async def frozen_leader(fleet, load):
    host = await fleet.leader(1)
    fleet.running[host].send_signal(signal.SIGSTOP)
    got = await load.store.claim(
        team='bank',
        key='while-frozen',
        body_digest='d',
        holder='e1',
        timeout_s=15.0,
    )
    assert isinstance(got, claim_store.ClaimGranted)
    fleet.running[host].send_signal(signal.SIGCONT)
    again = http_claim_store.HttpClaimStore(
        client=control_client.ControlClient(
            urls=[fleet.urls[host]], http=fleet.http
        )
    )
    found = await again.claim(
        team='bank',
        key='while-frozen',
        body_digest='d',
        holder='e2',
        timeout_s=15.0,
    )
    assert isinstance(found, claim_store.ClaimFound), found
    body = await fleet.status(host)
    assert body['groups'][1]['role'] != 'leader', json.dumps(body)
