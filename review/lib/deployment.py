"""A small deployment of the project's programs, with stand-ins around it.

Control and forward processes are started with the commands of the deploy file
and with settings like those that its templates render. Clients, runners and the
operator are small stand-ins that speak what the pages say. Only the standard
library is used. All addresses are loopback addresses.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
BROKEN, HELD, NOT_RUN = 1, 0, 2
BEAT_S = 1.2


class CannotRunError(Exception):
    """The case could not be set up."""


class Record:
    """What was sent, answered and run, written to ``record.txt``."""

    def __init__(self, path):
        self._file = open(path, 'w')
        self._start_s = time.monotonic()

    def note(self, text):
        line = f'{time.monotonic() - self._start_s:8.3f}  {text}'
        self._file.write(line + '\n')
        self._file.flush()
        print(line, flush=True)

    def now_s(self):
        return time.monotonic() - self._start_s


def trouble():
    """Whether the disruption is played."""
    return os.environ.get('TROUBLE', '1') != '0'


class Ports:
    """Ports that are free on all loopback addresses used here."""

    def __init__(self):
        self._used = set()

    def free(self):
        while True:
            with socket.socket() as sock:
                sock.bind(('127.0.0.1', 0))
                port = sock.getsockname()[1]
            if port not in self._used:
                self._used.add(port)
                return port


class Deployment:
    """Control hosts, each with an address of its own, and entry hosts."""

    def __init__(self, record, *, control=5, tolerated=2):
        self.record = record
        ports = Ports()
        self.ports = ports
        self.public_port = ports.free()
        self.control_port = ports.free()
        self.metrics_port = ports.free()
        self.front_port = ports.free()
        self.ready_port = ports.free()
        self.peers_port = ports.free()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='limpetroute-review-'))
        # 127.N.N.N is loopback; a number of this process keeps runs apart.
        self._net = f'127.{1 + os.getpid() % 250}.{1 + os.getpid() // 250 % 250}'
        self._next_host = 1
        self.tolerated = tolerated
        self.processes = {}
        self.control_ips = [self.new_ip() for _ in range(control)]
        self.seeds = [f'{ip}:{self.public_port}' for ip in self.control_ips[:3]]
        self.front_ips = []
        self._front_settings = {}

    def new_ip(self):
        ip = f'{self._net}.{self._next_host}'
        self._next_host += 1
        return ip

    # Processes

    def _spawn(self, name, command, settings):
        path = self.folder / f'{name}.json'
        path.write_text(json.dumps(settings))
        env = {
            'PATH': os.environ.get('PATH', ''),
            'HOME': str(self.folder),
            'PYTHONPATH': str(ROOT / 'target' / 'deps'),
            'PYTHONDONTWRITEBYTECODE': '1',
        }
        log = open(self.folder / f'{name}.log', 'ab')
        process = subprocess.Popen(
            [sys.executable, '-m', 'limpetroute', command, '--settings', str(path)],
            cwd=ROOT,
            env=env,
            stdout=log,
            stderr=subprocess.STDOUT,
            stdin=subprocess.DEVNULL,
        )
        log.close()
        self.processes[name] = process
        self.record.note(f'start {name} (pid {process.pid})')
        return process

    def start_control(self, ip, *, bootstrap):
        data_dir = self.folder / f'data-{ip}'
        data_dir.mkdir(exist_ok=True)
        zone = f'z{1 + int(ip.rpartition(".")[2]) % 3}'
        settings = {
            'host_id': ip,
            'zone': zone,
            'demo': True,
            'public_listen': f'{ip}:{self.public_port}',
            'listen': f'{ip}:{self.control_port}',
            'metrics': f'{ip}:{self.metrics_port}',
            'data_dir': str(data_dir),
            'seeds': self.seeds,
            'tolerated_losses': self.tolerated,
            'may_found': bootstrap,
            'claim_groups': 0,
            'heartbeat_s': 0.15,
            'election_s': 0.6,
            'watch_timeout_s': 5.0,
        }
        self._spawn(f'control-{ip}', 'control', settings)

    def start_front(self, zone='z1'):
        ip = self.new_ip()
        self.front_ips.append(ip)
        settings = {
            'host_id': f'front-{ip}',
            'zone': zone,
            'demo': True,
            'capacity': {'cpu_share': 0.537, 'cores': 2},
            'callers': f'{ip}:{self.front_port}',
            'ready': f'{ip}:{self.ready_port}',
            'metrics': f'{ip}:{self.metrics_port}',
            'peers': f'{ip}:{self.peers_port}',
            'seeds': self.seeds,
            'control_port': self.control_port,
            'grace_s': 8,
            'send_budget': {'ratio': 0.2, 'slack': 54, 'window_s': 10},
        }
        self._front_settings[ip] = settings
        self._spawn(f'front-{ip}', 'forward', settings)
        return ip

    def restart_front(self, ip):
        self._spawn(f'front-{ip}', 'forward', self._front_settings[ip])

    def kill(self, name, number=signal.SIGKILL):
        process = self.processes[name]
        process.send_signal(number)
        if number == signal.SIGKILL:
            process.wait()
        self.record.note(f'{signal.Signals(number).name} to {name}')

    def stop_all(self):
        for process in self.processes.values():
            if process.poll() is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
        for process in self.processes.values():
            process.wait()
        if os.environ.get('KEEP_LOGS') != '1':
            shutil.rmtree(self.folder, ignore_errors=True)

    # Operator

    async def put_config(self, config, ips=None, timeout_s=20.0):
        """Send a configuration to control hosts in turn until acknowledged."""
        ips = list(ips or self.control_ips)
        body = json.dumps(config).encode()
        until_s = time.monotonic() + timeout_s
        number = 0
        while time.monotonic() < until_s:
            ip = ips[number % len(ips)]
            number += 1
            status, _, _ = await call('PUT', ip, self.public_port, '/api/config', body)
            if status == 200:
                self.record.note(
                    f'operator: version {config["version"]} acknowledged by {ip}'
                )
                return True
            await asyncio.sleep(0.2)
        self.record.note(f'operator: version {config["version"]} not acknowledged')
        return False

    async def get_config(self, ip):
        """Return status and version of a read of the configuration."""
        status, _, body = await call('GET', ip, self.public_port, '/api/config')
        if status != 200:
            return status, None
        return status, json.loads(body)['version']

    async def wait_ready(self, ip, timeout_s=20.0):
        until_s = time.monotonic() + timeout_s
        while time.monotonic() < until_s:
            status, _, _ = await call('GET', ip, self.ready_port, '/api/readyz')
            if status == 200:
                return
            await asyncio.sleep(0.1)
        raise CannotRunError(f'{ip} is not ready')


# HTTP


async def call(method, host, port, path, body=b'', headers=None, timeout_s=1.0):
    """Make one call on a new connection; status 0 without a response."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, port)
            lines = [f'{method} {path} HTTP/1.1']
            fields = {'Host': f'{host}:{port}', 'Connection': 'close'}
            if body or method in ('PUT', 'POST'):
                fields['Content-Length'] = str(len(body))
                fields['Content-Type'] = 'application/json'
            fields.update(headers or {})
            lines.extend(f'{name}: {value}' for name, value in fields.items())
            writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)
            await writer.drain()
            return await read_answer(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, {}, b''
    finally:
        if writer is not None:
            writer.close()


async def read_head(reader):
    """Return the start line and the headers, in lower case."""
    head = await reader.readuntil(b'\r\n\r\n')
    start, *lines = head.decode('latin1').split('\r\n')
    headers = {}
    for line in lines:
        name, colon, value = line.partition(':')
        if colon:
            headers[name.strip().lower()] = value.strip()
    return start, headers


async def read_body(reader, headers, *, is_answer=False):
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        parts = []
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            if size:
                parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
            if not size:
                return b''.join(parts)
    if 'content-length' in headers:
        return await reader.readexactly(int(headers['content-length']))
    return await reader.read() if is_answer else b''


async def read_answer(reader):
    start, headers = await read_head(reader)
    body = await read_body(reader, headers, is_answer=True)
    return int(start.split()[1]), headers, body


# Runners


class Runner:
    """A sound runner that registers itself; ``run`` answers its requests.

    ``run`` is called with the runner, the start line, the headers and the
    writer once a request for this runner has been read.
    """

    def __init__(self, deployment, *, service, run, name, zone='z1', stage=None,
                 slots=6):
        self.deployment = deployment
        self.record = deployment.record
        self.service = service
        self.id = f'i-{name}'
        self.ip = deployment.new_ip()
        self.port = deployment.ports.free()
        self.zone = zone
        self.stage = stage
        self.slots = slots
        self.state = 'ready'
        self.acknowledged_s = {}
        self._run = run
        self._seq = 0
        self._server = None
        self._beats = None

    @property
    def address(self):
        return f'{self.ip}:{self.port}'

    async def start(self):
        self._server = await asyncio.start_server(self._serve, self.ip, self.port)
        self._beats = asyncio.create_task(self._beat_forever())

    async def stop(self):
        if self._beats is not None:
            self._beats.cancel()
        if self._server is not None:
            self._server.close()

    def heartbeat(self):
        self._seq += 1
        body = {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': self.state,
            'cold-left-ms': 0,
            'seq': self._seq,
        }
        if self.stage:
            body['stage'] = self.stage
            body['models'] = [{'name': 'm', 'version': 1, 'adapters': []}]
        return body

    async def beat(self):
        """Send one heartbeat; try the control hosts in turn."""
        body = self.heartbeat()
        for ip in self.deployment.control_ips:
            status, _, _ = await call(
                'PUT', ip, self.deployment.public_port,
                f'/api/instances/{self.id}', json.dumps(body).encode(),
            )
            if 200 <= status < 300:
                state = body['state']
                if state not in self.acknowledged_s:
                    self.acknowledged_s[state] = self.record.now_s()
                    self.record.note(f'{self.id}: {state} acknowledged by {ip}')
                return True
        return False

    async def _beat_forever(self):
        while True:
            await self.beat()
            await asyncio.sleep(BEAT_S)

    async def _serve(self, reader, writer):
        try:
            start, headers = await read_head(reader)
            await read_body(reader, headers)
            method, path, _ = start.split(' ')
            expected = headers.get('expect-instance')
            if expected not in (None, self.id):
                writer.write(answer(421, b'', {'Not-Run': '1'}))
            elif path == '/healthz':
                writer.write(answer(200, b'', {'Instance-Id': self.id}))
            elif path == '/api/report':
                report = {
                    'stage': self.stage, 'busy': False, 'seq': 0, 'queued': 0,
                    'active': 0, 'kv-used': 0, 'kv-total': 90000, 'kv-handles': 0,
                    'models': [{'name': 'm', 'version': 1, 'adapters': []}],
                }
                writer.write(answer(200, json.dumps(report).encode()))
            else:
                await self._run(self, start, headers, writer)
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


def answer(status, body=b'', headers=None):
    """Return a whole answer that ends its connection."""
    lines = [f'HTTP/1.1 {status} X', f'Content-Length: {len(body)}',
             'Connection: close']
    lines.extend(f'{name}: {value}' for name, value in (headers or {}).items())
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


def reset(writer):
    """Reset a connection."""
    sock = writer.get_extra_info('socket')
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b'\1\0\0\0\0\0\0\0')
    writer.transport.abort()


def main(folder, case):
    """Run a case: a coroutine function that returns BROKEN or HELD."""
    record = Record(pathlib.Path(folder) / 'record.txt')
    record.note(f'TROUBLE={"1" if trouble() else "0"}')
    made = []

    def make(**options):
        made.append(Deployment(record, **options))
        return made[-1]

    def end(number, frame):
        for deployment in made:
            deployment.stop_all()
        os._exit(NOT_RUN)

    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, end)

    async def run():
        async with asyncio.timeout(110):
            return await case(record, make)

    try:
        code = asyncio.run(run())
    except Exception as exc:  # noqa: BLE001 - only a broken rule exits with 1
        record.note(f'the case could not run: {exc!r}')
        code = NOT_RUN
    finally:
        for deployment in made:
            deployment.stop_all()
    record.note({BROKEN: 'rule broken', HELD: 'rule held', NOT_RUN: 'not run'}[code])
    sys.exit(code)
