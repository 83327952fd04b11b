"""A fleet of entry host and stand-in runner processes on loopback."""

import asyncio
import json
import signal
import urllib.request

from limpetroute.wire import caller
from tests.whole_path import port_pool
from tests.whole_path import processes

ZONES = ['evere', 'anderlecht', 'zaventem']
# Short durations, so that a takeover happens within seconds.
PEERS = {
    'probe_period_s': 0.3,
    'probe_timeout_s': 0.3,
    'suspicion_s': 1.0,
    'lease_s': 3.0,
    'renew_s': 0.7,
    'grant_s': 2.5,
    'report_delay_s': 0.5,
    'reap_grace_s': 2.0,
}


def get(port, path, timeout=5):
    url = f'http://127.0.0.1:{port}{path}'
    with urllib.request.urlopen(url, timeout=timeout) as got:
        return json.loads(got.read())


class Fleet:
    """Entry hosts e0, e1, ..., prefill runners p0, ... and decodes d0, ...

    A host that is started again keeps its ports.
    """

    def __init__(
        self,
        folder,
        *,
        hosts=7,
        prefills=2,
        decodes=3,
        runner=None,
        alone=False,
    ):
        self.folder = folder
        self.hosts = [f'e{n}' for n in range(hosts)]
        self.caller_ports = {
            name: port_pool.free_port() for name in self.hosts
        }
        self.internal_ports = {
            name: port_pool.free_port() for name in self.hosts
        }
        self.processes = {}
        self.runner_ports = {}
        self.runner_settings = {
            'demo': True,
            'models': ['review'],
            'step_s': 0.03,
            'heartbeat_s': 0.3,
            'kv_bytes_per_token': 1024,
            **(runner or {}),
        }
        self.runners = [f'p{n}' for n in range(prefills)]
        self.runners += [f'd{n}' for n in range(decodes)]
        self.starts = 0
        self.alone = alone

    def urls(self):
        return [
            f'http://127.0.0.1:{port}' for port in self.internal_ports.values()
        ]

    def start(self):
        for name in self.hosts:
            self.start_host(name, wait=False)
        for name in self.runners:
            self.start_runner(name)
        for name in self.hosts:
            self.processes[name].wait_ready()

    def start_host(self, name, wait=True):
        self.starts += 1
        index = self.hosts.index(name)
        listen = {'port': self.caller_ports[name]}
        self.processes[name] = processes.Process(
            'entry',
            {
                'demo': True,
                'host_id': name,
                'zone': ZONES[index % 3],
                'zones': ZONES,
                'listen': listen,
                'internal_listen': {'port': self.internal_ports[name]},
                'peer_urls': self.urls(),
                'peers': {} if self.alone else self.peers(),
                'first_token_s': 20,
                'transfer_timeout_s': 1.0,
                'resume_grace_s': 4.0,
                'drain_timeout_s': 2.0,
            },
            self.folder,
            f'{name}-{self.starts}',
        )
        if wait:
            self.processes[name].wait_ready()

    def peers(self):
        return {**PEERS, 'voters': self.hosts}

    def start_runner(self, name):
        self.starts += 1
        role = 'prefill' if name[0] == 'p' else 'decode'
        self.processes[name] = processes.Process(
            'standin',
            {
                **self.runner_settings,
                'runner_id': name,
                'role': role,
                'zone': ZONES[int(name[1:]) % 3],
                'listen': {'port': port_pool.free_port()},
                'announce_urls': self.urls(),
            },
            self.folder,
            f'{name}-{self.starts}',
        )
        (port,) = self.processes[name].wait_ready()
        self.runner_ports[name] = port

    def kill(self, name):
        self.processes.pop(name).stop(signal.SIGKILL)

    def send(self, name, number):
        self.processes[name].send_signal(number)

    def stop(self):
        for name, process in self.processes.items():
            process.send_signal(signal.SIGCONT)
            number = signal.SIGTERM if name[0] != 'e' else signal.SIGKILL
            process.stop(number)

    def counts(self, name):
        return get(self.runner_ports[name], '/v1/counts')

    def status(self, name):
        return get(self.internal_ports[name], '/v1/peers/status')

    async def until(self, condition, *, seconds, what):
        for _ in range(int(seconds / 0.1)):
            try:
                if await asyncio.to_thread(condition):
                    return
            except OSError:
                pass
            await asyncio.sleep(0.1)
        raise AssertionError(f'not within {seconds} s: {what}')

    async def until_ready(self, seconds=25):
        def ready():
            return all(
                get(self.caller_ports[name], '/readyz')['ready']
                for name in self.hosts
            )

        await self.until(ready, seconds=seconds, what='all hosts ready')
        await self.until(
            lambda: len(self.holders()) == len(self.decodes()),
            seconds=seconds,
            what='all runners granted',
        )

    def decodes(self):
        return [name for name in self.runners if name[0] == 'd']

    def holders(self):
        found = {}
        for name in self.hosts:
            if name not in self.processes:
                continue
            for runner, lease in self.status(name)['leases'].items():
                if lease['settled']:
                    found[runner] = name
        return found


class Reader:
    """A caller that reads a stream and keeps the received events."""

    def __init__(self, fleet, *, prompt, key, words=40):
        self.fleet = fleet
        self.key = key
        self.words = words
        self.body = {
            'model': 'review',
            'prompt': prompt,
            'max_tokens': words,
            'stream': True,
        }
        self.texts = []
        self.ids = []
        self.request_id = None
        self.done = False
        self.status = None
        self.error = None

    @property
    def text(self):
        return ''.join(self.texts)

    async def read(self, host, *, limit=None, resume=True):
        """Read until the end, ``limit`` events or an interrupted stream."""
        self.error = None
        headers = {'Idempotency-Key': self.key}
        if resume and self.ids:
            headers['Last-Event-ID'] = self.ids[-1]
        port = self.fleet.caller_ports[host]
        link = await caller.Caller().open(
            method='POST',
            url=f'http://127.0.0.1:{port}/v1/completions',
            body=self.body,
            headers=headers,
            timeout_s=20,
        )
        if not hasattr(link, 'chunks'):
            self.status = str(link.kind)
            return
        self.status = link.status
        try:
            if link.status != 200:
                got = await link.read(timeout_s=5)
                self.error = getattr(got, 'body', None)
                return
            self.request_id = link.headers.get('Limpetroute-Request-Id')
            await self._events(link, limit)
        except TimeoutError:
            self.status = 'timeout'
        finally:
            link.close()

    async def _events(self, link, limit):
        partial = b''
        count = 0
        event_id = None
        async for chunk in link.chunks(idle_timeout_s=8):
            lines = (partial + chunk).split(b'\n')
            partial = lines.pop()
            for line in lines:
                if line.startswith(b'id: '):
                    event_id = line[4:].decode()
                if not line.startswith(b'data: '):
                    continue
                if line == b'data: [DONE]':
                    self.done = True
                    return
                data = json.loads(line[6:])
                if 'error' in data:
                    self.error = data['error']
                    continue
                text = data['choices'][0]['text']
                if not text:
                    continue
                self.texts.append(text)
                self.ids.append(event_id)
                count += 1
                if limit is not None and count >= limit:
                    return
