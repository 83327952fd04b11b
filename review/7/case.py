"""A request whose answer is complete is given up on, with its connection."""

import asyncio
import pathlib
import random
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'lib-2'))

import kit  # noqa: E402

CLIENTS = 28
FRONTS = 4
PLAY_S = 55
DARK_S = 4.5
UP_S = 3.5
MOST_LOST = 3
# Milliseconds; each kind of request has a route of its own.
ROUTES = {
    'queue': ('non_idempotent', 500, 1),
    'roster': ('idempotent', 500, 2),
    'entry': ('non_idempotent', 600, 1),
    'member': ('idempotent', 600, 2),
}
rng = random.Random(7)


def config(version):
    routes = [
        {
            'name': f'r-{name}',
            'host': 'garden.example',
            'path-prefix': f'/{name}/',
            'kind': kind,
            'timeout-ms': timeout_ms,
            'slo-ms': 200,
            'priority': 2,
            'service': 'warteliste',
            'attempts': attempts,
        }
        for name, (kind, timeout_ms, attempts) in ROUTES.items()
    ]
    return {
        'version': version,
        'routes': routes,
        'services': [
            {
                'name': 'warteliste',
                'health-path': '/healthz',
                'max-conns': 100,
                'protocol': 'h1',
                'tls': False,
            }
        ],
        'limits': {
            'max-header-bytes': 16384,
            'max-body-bytes': 4194304,
            'header-timeout-ms': 3000,
            'idle-timeout-ms': 15000,
        },
    }


def work_s():
    """About 45 ms, as the sheet has it, and 220 ms at most."""
    return min(0.22, rng.lognormvariate(-3.2, 0.4))


class Client:
    """Sends one request after the other on a connection that it keeps."""

    def __init__(self, deployment, record, number):
        front = deployment.front_ips[number % FRONTS]
        self._address = (front, deployment.front_port)
        self._record = record
        self._number = number
        self._sent = 0
        self.statuses = {}
        # Requests on kept connections that were closed without an answer.
        self.closed = []

    async def run(self, until_s):
        while time.monotonic() < until_s:
            reader, writer = await asyncio.open_connection(*self._address)
            try:
                await self._use(reader, writer, until_s)
            finally:
                writer.close()

    async def _use(self, reader, writer, until_s):
        is_kept = False
        while time.monotonic() < until_s:
            self._sent += 1
            request_id = f'c{self._number}-{self._sent}'
            name = list(ROUTES)[self._number % len(ROUTES)]
            is_post = ROUTES[name][0] == 'non_idempotent'
            headers = {
                'Host': 'garden.example',
                'Request-Id': request_id,
                'Deadline-Ms': '1000',
            }
            started_s = time.monotonic()
            writer.write(
                kit.request_bytes(
                    'POST' if is_post else 'GET',
                    f'/{name}/{request_id}',
                    headers,
                    b'x' * 600 if is_post else b'',
                )
            )
            status = 0
            try:
                async with asyncio.timeout(1.1):
                    status, got, _ = await kit.read_answer(reader)
            except TimeoutError:
                outcome = 'no answer by its deadline'
            except (OSError, EOFError):
                outcome = 'closed without an answer'
                if is_kept:
                    self.closed.append(request_id)
            else:
                outcome = f'answered {status}'
            took_ms = round((time.monotonic() - started_s) * 1000)
            kept = 'kept' if is_kept else 'new'
            self._record(
                f'client: {request_id} on a {kept} connection: {outcome} '
                f'after {took_ms} ms'
            )
            self.statuses[status] = self.statuses.get(status, 0) + 1
            if not status or got.get('connection', '').lower() == 'close':
                return
            is_kept = True


async def play(deployment, record):
    for number in range(4):
        runner = kit.Runner(
            deployment, service='warteliste', number=number, work_s=work_s
        )
        await runner.start()
    await deployment.put_config(config(3))
    await deployment.wait_ready()
    await asyncio.sleep(1)
    until_s = time.monotonic() + PLAY_S
    clients = [Client(deployment, record, n) for n in range(CLIENTS)]
    tasks = [asyncio.create_task(one.run(until_s)) for one in clients]
    turn = 0
    while kit.TROUBLE and time.monotonic() + UP_S + DARK_S < until_s:
        # One of the four runners at a time.
        runner = deployment.runners[turn % 4]
        turn += 1
        await asyncio.sleep(UP_S)
        await runner.go_dark()
        await asyncio.sleep(DARK_S)
        await runner.return_from_dark()
    await asyncio.gather(*tasks)
    ran = {
        arrival.request_id
        for runner in deployment.runners
        for arrival in runner.arrivals
    }
    closed = [one for client in clients for one in client.closed]
    lost = [one for one in closed if one in ran]
    statuses = {}
    for client in clients:
        for status, count in client.statuses.items():
            statuses[status] = statuses.get(status, 0) + count
    record.end(
        f'answers by status: {statuses}; closed on a kept connection: '
        f'{len(closed)}, of these at a sound runner: {len(lost)}: {lost}'
    )
    return len(lost) > MOST_LOST


kit.main(HERE, play, fronts=FRONTS)
