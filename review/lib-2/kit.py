"""A small deployment for the scripts of the second review.

It starts the project's programs as separate processes on loopback addresses,
with the commands of the deploy file, and has stand-ins of the operator, of
clients and of plain runners. Only the standard library is used.
"""

import asyncio
import contextlib
import itertools
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import typing

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
ZONES = ('hall-evere', 'hall-anderlecht', 'hall-zaventem')
BEAT_S = 1.2


class CouldNotRunError(Exception):
    """The case could not be set up."""


class Record:
    """Writes what was sent, answered and run, with times."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / 'record.txt').open('w')
        self._started_s = time.monotonic()

    def __call__(self, text: str) -> None:
        at_s = time.monotonic() - self._started_s
        self._file.write(f'{at_s:8.3f}  {text}\n')
        self._file.flush()

    def end(self, text: str) -> None:
        self(text)
        print(text, flush=True)


class Process:
    """One process of the project, with its settings file."""

    def __init__(self, words: list[str], folder: pathlib.Path, name: str):
        self.name = name
        self.path = folder / f'{name}.json'
        self._log = folder / f'{name}.log'
        self._words = [
            str(self.path) if one == '/etc/limpetroute/boot.conf' else one
            for one in words
        ]
        self._process: asyncio.subprocess.Process | None = None

    async def start(self, settings: dict[str, typing.Any]) -> None:
        self.path.write_text(json.dumps(settings))
        kept = ('PATH', 'HOME', 'JAVA_HOME', 'LANG')
        env = {one: os.environ[one] for one in kept if one in os.environ}
        env['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        env['PYTHONDONTWRITEBYTECODE'] = '1'
        with self._log.open('ab') as log:
            self._process = await asyncio.create_subprocess_exec(
                *self._words, cwd=ROOT, env=env, stdout=log, stderr=log
            )

    def log(self) -> str:
        return self._log.read_text(errors='replace')

    @property
    def is_running(self) -> bool:
        return self._process is not None and self._process.returncode is None

    def send(self, number: int) -> None:
        if self.is_running:
            assert self._process is not None
            self._process.send_signal(number)

    async def end(self) -> None:
        if self._process is not None:
            if self.is_running:
                self.send(signal.SIGCONT)
                self.send(signal.SIGKILL)
            await self._process.wait()


class Deployment:
    """Control and entry processes like those of a small deployment."""

    def __init__(self, record: Record, *, controls: int = 5, fronts: int = 2):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='limpetroute-'))
        (self.folder / 'data').mkdir()
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        roles = deploy['roles']
        self._commands = {
            role: roles[role]['run'].split() for role in roles
        }
        net = random.randrange(16, 240)
        self.control_ips = [f'127.{net}.0.{10 + n}' for n in range(controls)]
        self.front_ips = [f'127.{net}.1.{10 + n}' for n in range(fronts)]
        self.runner_net = f'127.{net}.2.'
        ips = [*self.control_ips, *self.front_ips]
        ports = free_ports(ips, 5)
        (
            self.front_port,
            self.ready_port,
            self.public_port,
            self.peer_port,
            self.metrics_port,
        ) = ports
        self.controls = [
            Process(self._commands['control'], self.folder, f'control-{n}')
            for n in range(controls)
        ]
        self.fronts = [
            Process(self._commands['forwarder'], self.folder, f'front-{n}')
            for n in range(fronts)
        ]
        self.runners: list['Runner'] = []
        self._calls = itertools.count()

    def control_settings(self, number: int, *, founds: bool) -> dict:
        ip = self.control_ips[number]
        return {
            'host_id': ip,
            'zone': ZONES[number % len(ZONES)],
            'demo': True,
            'public_listen': f'{ip}:{self.public_port}',
            'listen': f'{ip}:{self.peer_port}',
            'metrics': f'{ip}:{self.metrics_port}',
            'data_dir': str(self.folder / 'data' / str(number)),
            'seeds': self.seeds,
            'tolerated_losses': (len(self.control_ips) - 1) // 2,
            'order_gap_ms': 3000,
            'catch_up_s': 4,
            'may_found': founds,
            'claim_groups': 0,
            'heartbeat_s': 0.15,
            'election_s': 0.6,
            'watch_timeout_s': 5.0,
        }

    @property
    def seeds(self) -> list[str]:
        return [f'{ip}:{self.public_port}' for ip in self.control_ips[:3]]

    def front_settings(self, number: int) -> dict:
        ip = self.front_ips[number]
        return {
            'host_id': f'front-{number}',
            'zone': ZONES[number % len(ZONES)],
            'demo': True,
            'capacity': {'cpu_share': 0.537, 'cores': 2},
            'callers': f'{ip}:{self.front_port}',
            'ready': f'{ip}:{self.ready_port}',
            'metrics': f'{ip}:{self.metrics_port}',
            'peers': f'{ip}:{self.peer_port}',
            'seeds': self.seeds,
            'control_port': self.peer_port,
            'grace_s': 8,
            'send_budget': {'ratio': 0.2, 'slack': 54, 'window_s': 10},
        }

    async def __aenter__(self) -> 'Deployment':
        for number, one in enumerate(self.controls):
            await one.start(self.control_settings(number, founds=True))
        for number, one in enumerate(self.fronts):
            await one.start(self.front_settings(number))
        return self

    async def __aexit__(self, *exc: object) -> None:
        for runner in self.runners:
            await runner.end()
        for one in [*self.fronts, *self.controls]:
            await one.end()
        shutil.rmtree(self.folder, ignore_errors=True)

    async def ready(self, number: int) -> bool:
        try:
            status, _, _ = await call(
                (self.front_ips[number], self.ready_port),
                'GET',
                '/api/readyz',
                timeout_s=1.0,
            )
        except (OSError, EOFError, TimeoutError, ValueError):
            return False
        return status == 200

    async def wait_ready(self) -> None:
        for number in range(len(self.fronts)):
            await until(lambda number=number: self.ready(number), 20, 'ready')

    async def control(
        self, method: str, path: str, body: bytes, *, first: int | None = None
    ) -> tuple[int, bytes]:
        """Call any control host, as operators and runners do."""
        start = next(self._calls) if first is None else first
        last = 'no call'
        for n in range(3 * len(self.control_ips)):
            ip = self.control_ips[(start + n) % len(self.control_ips)]
            try:
                status, _, got = await call(
                    (ip, self.public_port), method, path, body, timeout_s=1.0
                )
            except (OSError, EOFError, TimeoutError, ValueError) as exc:
                last = repr(exc)
                await asyncio.sleep(0.1)
                continue
            if status < 500 and status not in (408, 429):
                return status, got
            last = f'{status} {got!r}'
            await asyncio.sleep(0.1 * (n + 1))
        return 0, last.encode()

    async def put_config(self, config: dict | bytes) -> int:
        data = config
        if isinstance(config, dict):
            data = json.dumps(config).encode()
        assert isinstance(data, bytes)
        status = 0
        until_s = time.monotonic() + 25
        while time.monotonic() < until_s:
            status, got = await self.control('PUT', '/api/config', data)
            if status:
                self.record(f'operator: PUT /api/config -> {status}')
                return status
            await asyncio.sleep(0.2)
        raise CouldNotRunError(f'no acknowledgement: {got!r}')


class Arrival(typing.NamedTuple):
    """A request that a runner began to work on."""

    at_s: float
    request_id: str
    target: str
    body: bytes


class Runner:
    """A plain runner as the pages describe it."""

    def __init__(
        self,
        deployment: Deployment,
        *,
        service: str,
        number: int,
        work_s: typing.Callable[[], float],
        slots: int = 6,
        has_born: bool = False,
    ) -> None:
        self._has_born = has_born
        self.born = 0
        self.acknowledged = 0
        self.misdirected = 0
        self._deployment = deployment
        self._record = deployment.record
        self.service = service
        self._number = number
        self.runner_id = new_id(number)
        self.ip = f'{deployment.runner_net}{10 + number}'
        self.port = free_ports([self.ip], 1)[0]
        self._work_s = work_s
        self._slots = asyncio.Semaphore(slots)
        self._max_slots = slots
        self.arrivals: list[Arrival] = []
        self.cancelled: set[str] = set()
        self._server: asyncio.Server | None = None
        self._beats: asyncio.Task[None] | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._sequence = 0
        self._silent: list[socket.socket] = []
        self._is_dark = False
        self._is_down = False
        deployment.runners.append(self)

    @property
    def address(self) -> str:
        return f'{self.ip}:{self.port}'

    def renew(self) -> None:
        """Begin a new life, with an identity of its own."""
        self.born = round(time.time() * 1000)
        self.runner_id = new_id(self._number)
        self._sequence = 0

    async def crash(self) -> None:
        """End without a word; connections to the address are refused."""
        self._record(f'{self.runner_id} crashes')
        await self.end()

    async def start(self) -> None:
        if not self.born:
            self.renew()
        await self.listen()
        await until(self._is_announced, 25, 'an acknowledged heartbeat')
        self._beats = asyncio.create_task(self._beat_on())

    async def _is_announced(self) -> bool:
        return 200 <= await self.beat() < 300

    async def listen(self) -> None:
        self._is_down = False
        self._server = await asyncio.start_server(
            self._serve, self.ip, self.port
        )

    def heartbeat(self, state: str = 'ready') -> dict[str, typing.Any]:
        self._sequence += 1
        body: dict[str, typing.Any] = {
            'service': self.service,
            'address': self.address,
            'zone': ZONES[0],
            'version': 'v1',
            'slots': self._max_slots,
            'state': state,
            'cold-left-ms': 0,
            'seq': self._sequence,
        }
        if self._has_born:
            body['born'] = self.born
        return body

    async def beat(self, state: str = 'ready') -> int:
        body = self.heartbeat(state)
        status, _ = await self._deployment.control(
            'PUT',
            f'/api/instances/{self.runner_id}',
            json.dumps(body).encode(),
        )
        self.acknowledged += 200 <= status < 300
        return status

    async def _beat_on(self) -> None:
        while True:
            await asyncio.sleep(BEAT_S)
            await self.beat()

    async def go_dark(self) -> None:
        """Fall silent: accept and answer nothing, and reset nothing.

        The port stays bound, with its queue of connections full, so that
        what is sent there is dropped.
        """
        if self._beats is not None:
            self._beats.cancel()
            self._beats = None
        assert self._server is not None
        self._server.close()
        self._is_dark = True
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((self.ip, self.port))
        sock.listen(0)
        self._silent = [sock]
        for _ in range(3):
            one = socket.socket()
            one.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                one.connect((self.ip, self.port))
            self._silent.append(one)
        self._record(f'runner {self.runner_id} goes dark')

    async def return_from_dark(self) -> None:
        for one in self._silent:
            one.close()
        self._silent = []
        self._is_dark = False
        for task in list(self._tasks):
            task.cancel()
        await asyncio.sleep(0)
        await self.listen()
        await self.beat()
        self._beats = asyncio.create_task(self._beat_on())
        self._record(f'runner {self.runner_id} is back')

    async def end(self) -> None:
        self._is_down = True
        if self._beats is not None:
            self._beats.cancel()
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        for one in self._silent:
            one.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._is_down:
            # Accepted just before the end.
            writer.transport.abort()
            return
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (OSError, EOFError, ValueError):
            pass
        finally:
            writer.close()

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        start, headers = await read_head(reader)
        method, target, _ = start.split(' ')
        length = int(headers.get('content-length', '0'))
        body = await reader.readexactly(length) if length else b''
        request_id = headers.get('request-id', '')
        if target.startswith('/healthz'):
            write(writer, 200, {'Instance-Id': self.runner_id}, b'')
            return True
        echoed = {'Request-Id': request_id}
        if headers.get('expect-instance', self.runner_id) != self.runner_id:
            self.misdirected += 1
            write(writer, 421, echoed, b'')
            return True
        if not request_id:
            write(writer, 400, {'Not-Run': '1'}, b'')
            return True
        left_s = float(headers.get('deadline-ms', '10000')) / 1000
        ended = asyncio.ensure_future(reader.read(1))
        run = asyncio.ensure_future(
            self._run(request_id, target, body, left_s)
        )
        try:
            await asyncio.wait(
                {ended, run}, return_when=asyncio.FIRST_COMPLETED
            )
            if not run.done():
                # The connection was closed, so the request is dropped.
                self.cancelled.add(request_id)
                self._record(f'{self.runner_id} drops {request_id}')
                return False
        finally:
            run.cancel()
            ended.cancel()
            await asyncio.wait({ended, run})
        while self._is_dark:
            await asyncio.sleep(0.05)
        status, answer = run.result()
        extra = {}
        if status == 503:
            extra['Not-Run'] = '1'
        else:
            extra['Runner-Stamp'] = f'{self.runner_id}.{request_id}'
        write(writer, status, {**echoed, **extra}, answer)
        await writer.drain()
        return True

    async def _run(
        self, request_id: str, target: str, body: bytes, left_s: float
    ) -> tuple[int, bytes]:
        started_s = time.monotonic()
        try:
            async with asyncio.timeout(left_s):
                await self._slots.acquire()
        except TimeoutError:
            return 503, b''
        try:
            now_s = time.monotonic()
            self.arrivals.append(Arrival(now_s, request_id, target, body))
            self._record(f'{self.runner_id} runs {request_id} {target}')
            work_s = self._work_s()
            left_s -= now_s - started_s
            if work_s > left_s:
                await asyncio.sleep(max(0.0, left_s))
                return 504, b''
            await asyncio.sleep(work_s)
            return 200, f'{request_id} {target}'.encode()
        finally:
            self._slots.release()


def new_id(number: int) -> str:
    return f'i-{number:04x}{random.getrandbits(32):08x}'


# HTTP


async def read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]]:
    data = await reader.readuntil(b'\r\n\r\n')
    start, *lines = data.decode('latin1').split('\r\n')[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    return start, headers


async def read_answer(
    reader: asyncio.StreamReader,
) -> tuple[int, dict[str, str], bytes]:
    """Read an answer with a length or in chunks.

    EOFError means that the connection ended before the answer did.
    """
    start, headers = await read_head(reader)
    status = int(start.split(' ')[1])
    if 'content-length' in headers:
        body = await reader.readexactly(int(headers['content-length']))
        return status, headers, body
    body = b''
    while headers.get('transfer-encoding', '') == 'chunked':
        size = int((await reader.readline()).split(b';')[0], 16)
        chunk = await reader.readexactly(size + 2)
        if not size:
            break
        body += chunk[:-2]
    return status, headers, body


def write(
    writer: asyncio.StreamWriter,
    status: int,
    headers: dict[str, str],
    body: bytes,
) -> None:
    lines = [f'HTTP/1.1 {status} X', f'Content-Length: {len(body)}']
    lines.extend(f'{name}: {value}' for name, value in headers.items())
    writer.write('\r\n'.join(lines).encode('latin1') + b'\r\n\r\n' + body)


def request_bytes(
    method: str, target: bytes | str, headers: dict[str, str], body: bytes
) -> bytes:
    if isinstance(target, str):
        target = target.encode('ascii')
    lines = [f'{name}: {value}'.encode('latin1') for name, value in headers.items()]
    if body or method == 'POST':
        lines.append(f'Content-Length: {len(body)}'.encode())
    first = method.encode() + b' ' + target + b' HTTP/1.1'
    return b'\r\n'.join([first, *lines]) + b'\r\n\r\n' + body


async def call(
    address: tuple[str, int],
    method: str,
    target: str,
    body: bytes = b'',
    *,
    timeout_s: float,
) -> tuple[int, dict[str, str], bytes]:
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(*address)
        try:
            headers = {'Host': f'{address[0]}:{address[1]}'}
            if body:
                headers['Content-Type'] = 'application/json'
            writer.write(request_bytes(method, target, headers, body))
            return await read_answer(reader)
        finally:
            writer.close()


# Settings and waiting


def free_ports(ips: list[str], count: int) -> list[int]:
    """Return ports that are free at all addresses."""
    found: list[int] = []
    while len(found) < count:
        port = random.randrange(20_000, 32_000)
        if port in found:
            continue
        try:
            for ip in ips:
                with socket.socket() as sock:
                    sock.bind((ip, port))
        except OSError:
            continue
        found.append(port)
    return found


async def until(
    check: typing.Callable[[], typing.Awaitable[bool]],
    timeout_s: float,
    what: str,
) -> None:
    end_s = time.monotonic() + timeout_s
    while time.monotonic() < end_s:
        if await check():
            return
        await asyncio.sleep(0.1)
    raise CouldNotRunError(f'not in {timeout_s} s: {what}')


def main(folder: pathlib.Path, play, **sizes: int) -> typing.NoReturn:
    """Play a case; `play` returns whether the rule was broken."""

    async def run() -> int:
        record = Record(folder)
        record(f'TROUBLE={int(TROUBLE)}')
        try:
            async with asyncio.timeout(112):
                async with Deployment(record, **sizes) as deployment:
                    broken = await play(deployment, record)
        except (CouldNotRunError, TimeoutError, OSError) as exc:
            record.end(f'could not run: {exc!r}')
            return COULD_NOT_RUN
        record.end('the rule was broken' if broken else 'the rule held')
        return BROKEN if broken else HELD

    sys.exit(asyncio.run(run()))
