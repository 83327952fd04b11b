"""An entry host is stopped; it takes plain requests that it then cuts off.

With TROUBLE=0 the same traffic is played and no host is stopped.
"""

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'lib'))
import deployment  # noqa: E402

# The sheet of the site: 6 slots, 24 queued, 450 ms at most, timeout-ms 2,000.
SLOTS, QUEUED, WORK_S = 6, 24, 0.45
TIMEOUT_S, DEADLINE_S, GRACE_S = 2.0, 4.0, 8.0
BUSY_CLIENTS = 18
# When clients that kept a connection use it again, after the SIGTERM. All are
# within four fifths of idle-timeout-ms (12 s).
SENDS_S = (5.6, 5.65, 5.7, 5.75, 5.8, 5.85, 5.9, 5.95)
# A stream of as many pieces as the sheet allows, at the pace of a full batch:
# 77 steps of 0.554 ms and 0.00243 ms for each of 32 requests.
EVENTS, EVENT_S = 130, 0.0487


def config(version):
    engine = {
        'slots': 32, 'kv-capacity': 75177, 'token-bytes': 163840,
        'link-mbps': 4400000.0, 'moves': True, 'backups': True, 'stride': 77,
        'most': 12, 'kv-ttl-s': 0.5, 'switch-s': 6.0, 'pin-ms': 4000.0,
        'hold-ms': 2000.0, 'models': [{'name': 'm'}],
    }
    return {
        'version': version,
        'routes': [
            {
                'name': 'dispute-ruling', 'host': 'berth.example',
                'path-prefix': '/ruling/', 'kind': 'streaming',
                'timeout-ms': 14000, 'slo-ms': 820, 'priority': 1,
                'service': 'berth-llm', 'attempts': 2, 'sticky': True,
                'resumable': True, 'gap-slo-ms': 300,
            },
            {
                'name': 'slot-confirm', 'host': 'berth.example',
                'path-prefix': '/confirm/', 'kind': 'non_idempotent',
                'timeout-ms': TIMEOUT_S * 1000, 'slo-ms': 300, 'priority': 2,
                'service': 'slot-desk', 'attempts': 1, 'sticky': False,
                'resumable': False,
            }
        ],
        'services': [
            {'name': 'slot-desk', 'health-path': '/healthz', 'max-conns': 430,
             'protocol': 'h1', 'tls': False},
            {'name': 'berth-llm', 'health-path': '/healthz', 'max-conns': 560,
             'protocol': 'h1', 'tls': False, 'engine': engine},
        ],
        'limits': {'max-header-bytes': 16384, 'max-body-bytes': 4194304,
                   'header-timeout-ms': 3000, 'idle-timeout-ms': 15000},
    }


class KeptClient:
    """A client that keeps its connection for a second request."""

    def __init__(self, fleet, front, number):
        self._fleet, self._front, self._number = fleet, front, number
        self._reader = self._writer = None

    async def request(self, what):
        """Return a status and whether the node asked to close; 0 if cut off."""
        if self._writer is None:
            self._reader, self._writer = await asyncio.open_connection(
                self._front, self._fleet.front_port
            )
        self.request_id = f'{what}{self._number:08x}'
        body = b'berth 7'
        self._writer.write(
            (
                'POST /confirm/one HTTP/1.1\r\nHost: berth.example\r\n'
                f'Request-Id: {self.request_id}\r\nDeadline-Ms: 4000\r\n'
                f'Content-Length: {len(body)}\r\n\r\n'
            ).encode() + body
        )
        try:
            async with asyncio.timeout(DEADLINE_S):
                status, headers, _ = await deployment.read_answer(self._reader)
            return status, headers.get('connection', '')
        except (OSError, asyncio.IncompleteReadError, ValueError):
            return 0, ''
        except TimeoutError:
            return -1, ''

    def close(self):
        if self._writer is not None:
            self._writer.close()


async def case(record, make):
    fleet = make(control=3, tolerated=1)
    for ip in fleet.control_ips:
        fleet.start_control(ip, bootstrap=True)
    stopped = fleet.start_front('z1')
    other = fleet.start_front('z1')
    slots = asyncio.Semaphore(SLOTS)
    waiting = 0
    began, ended = {}, {}

    async def run(runner, start, headers, writer):
        nonlocal waiting
        request_id = headers.get('request-id', '')
        began[request_id] = record.now_s()
        if waiting >= QUEUED:
            writer.write(deployment.answer(503, b'', {'Not-Run': '1', 'Request-Id': request_id}))
            began.pop(request_id)
            return
        waiting += 1
        async with slots:
            waiting -= 1
            await asyncio.sleep(WORK_S)
        ended[request_id] = record.now_s()
        writer.write(
            deployment.answer(200, b'confirmed', {
                'Request-Id': request_id, 'Runner-Stamp': f's.{request_id}'})
        )

    async def write(model, start, headers, writer):
        request_id = headers.get('request-id', '')
        writer.write(
            (
                'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
                f'Request-Id: {request_id}\r\nRunner-Stamp: m.{request_id}\r\n'
                'Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n'
            ).encode()
        )
        for number in range(1, EVENTS + 1):
            await asyncio.sleep(EVENT_S)
            event = f'id: {number}\ndata: w\n\n'.encode()
            writer.write(f'{len(event):x}\r\n'.encode() + event + b'\r\n')
            await writer.drain()
        writer.write(b'0\r\n\r\n')

    async def stream():
        status, _, body = await deployment.call(
            'POST', stopped, fleet.front_port, '/ruling/one', b'manifest',
            {'Host': 'berth.example', 'Request-Id': 'a' * 16, 'Model': 'm',
             'Token-Usage': f'5000,{EVENTS * 77}', 'Prompt-Prefix': '5c1e07a2:200,0a:4800',
             'Deadline-Ms': '14000'}, timeout_s=14.0)
        record.note(f'client: the stream ended with {status} after {body.count(b"id:")} events')

    model = deployment.Runner(
        fleet, service='berth-llm', run=write, name='llm', stage='decode', slots=32)
    runner = deployment.Runner(fleet, service='slot-desk', run=run, name='desk', slots=SLOTS)
    busy = []
    served = 0

    async def keep_busy(number):
        nonlocal served
        count = 0
        await asyncio.sleep(number * 0.07)
        while True:
            count += 1
            status, _, _ = await deployment.call(
                'POST', other, fleet.front_port, '/confirm/one', b'berth 3',
                {'Host': 'berth.example', 'Request-Id': f'b{number:03x}{count:012x}',
                 'Deadline-Ms': '4000'}, timeout_s=DEADLINE_S)
            served += status == 200

    kept = [KeptClient(fleet, stopped, number) for number in range(len(SENDS_S))]
    cut = []
    try:
        if not await fleet.put_config(config(1)):
            raise deployment.CannotRunError('no configuration')
        await runner.start()
        await model.start()
        for ip in (stopped, other):
            await fleet.wait_ready(ip)
        await asyncio.sleep(2.0)
        busy = [asyncio.create_task(keep_busy(number)) for number in range(BUSY_CLIENTS)]
        await asyncio.sleep(4.0)
        for status, _ in await asyncio.gather(*(one.request('first') for one in kept)):
            if status != 200:
                raise deployment.CannotRunError(f'first requests: status {status}')
        busy.append(asyncio.create_task(stream()))
        await asyncio.sleep(0.3)
        started_s = time.monotonic()
        name = f'front-{stopped}'
        if deployment.trouble():
            fleet.kill(name, signal.SIGTERM)

        async def use_again(one, at_s):
            await asyncio.sleep(started_s + at_s - time.monotonic())
            sent_s = time.monotonic()
            status, _ = await one.request('again')
            took_s = time.monotonic() - sent_s
            at_runner = one.request_id in began
            record.note(
                f'client: {one.request_id} sent {sent_s - started_s:.2f} s after SIGTERM, '
                f'{"status " + str(status) if status > 0 else "no answer"} after {took_s:.2f} s, '
                f'{"passed on to the runner" if at_runner else "not passed on"}'
            )
            if status == 0 and at_runner and took_s < TIMEOUT_S:
                cut.append(one.request_id)

        await asyncio.gather(*(use_again(*pair) for pair in zip(kept, SENDS_S)))
        await asyncio.sleep(max(0.0, started_s + GRACE_S - time.monotonic()))
        if deployment.trouble() and fleet.processes[name].poll() is None:
            fleet.kill(name, signal.SIGKILL)
        await asyncio.sleep(1.0)
    finally:
        for task in busy:
            task.cancel()
        for one in kept:
            one.close()
        await runner.stop()
        await model.stop()
    for request_id in cut:
        end_s = ended.get(request_id)
        record.note(
            f'LOST: {request_id} was passed on and its connection ended without an answer; '
            f'the runner {"ended it " + format(end_s - began[request_id], ".2f") + " s after it came" if end_s else "was at work on it"}'
        )
    record.note(f'{served} requests served at the other host, {len(cut)} cut off at the stopped one')
    if served < 20:
        raise deployment.CannotRunError('too few requests were served')
    return deployment.BROKEN if cut else deployment.HELD


deployment.main(pathlib.Path(__file__).parent, case)
