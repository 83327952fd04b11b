"""Some clients send bodies of the allowed size at once; the hosts run out of memory.

With TROUBLE=0 the same clients send the same bodies one after the other.
"""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'lib'))
import deployment  # noqa: E402

MEMORY_MB = 150.0  # memory-mb of the site's front machines
BODY = b'w' * 4_000_000  # max-body-bytes is 4,194,304
AT_ONCE = 20
ROUNDS = 5
# On a tenth of the machines in use, two at least.
ENDS = 3
SLOTS, QUEUED, WORK_S = 6, 24, 0.09
DEADLINE_S = 1.5


def config(version):
    return {
        'version': version,
        'routes': [
            {
                'name': 'release-notice', 'host': 'desk.example',
                'path-prefix': '/notice/', 'kind': 'non_idempotent',
                'timeout-ms': 800, 'slo-ms': 300, 'priority': 2,
                'service': 'registry', 'attempts': 1, 'sticky': False,
                'resumable': False,
            }
        ],
        'services': [
            {'name': 'registry', 'health-path': '/healthz', 'max-conns': 100,
             'protocol': 'h1', 'tls': False}
        ],
        'limits': {'max-header-bytes': 16384, 'max-body-bytes': 4194304,
                   'header-timeout-ms': 3000, 'idle-timeout-ms': 15000},
    }


def used_mb(pid):
    """Return the memory that a process has for itself, without files, in MiB."""
    try:
        for line in pathlib.Path(f'/proc/{pid}/status').read_text().splitlines():
            if line.startswith('RssAnon:'):
                return int(line.split()[1]) / 1024
    except OSError:
        pass
    return 0.0


async def case(record, make):
    fleet = make(control=3, tolerated=1)
    for ip in fleet.control_ips:
        fleet.start_control(ip, bootstrap=True)
    fronts = [fleet.start_front('z1'), fleet.start_front('z2')]
    slots = asyncio.Semaphore(SLOTS)
    began = set()
    waiting = 0
    ends = dict.fromkeys(fronts, 0)
    peaks = dict.fromkeys(fronts, 0.0)

    async def run(runner, start, headers, writer):
        nonlocal waiting
        request_id = headers.get('request-id', '')
        if waiting >= QUEUED:
            writer.write(deployment.answer(503, b'', {'Not-Run': '1'}))
            return
        waiting += 1
        async with slots:
            waiting -= 1
            began.add(request_id)
            await asyncio.sleep(WORK_S)
        writer.write(deployment.answer(200, b'released', {
            'Request-Id': request_id, 'Runner-Stamp': f'r.{request_id}'}))

    async def platform(ip):
        """Kill a process that uses more than its machine has; start it again."""
        name = f'front-{ip}'
        while True:
            await asyncio.sleep(0.005)
            used = used_mb(fleet.processes[name].pid)
            peaks[ip] = max(peaks[ip], used)
            if used <= MEMORY_MB:
                continue
            record.note(f'platform: {name} uses {used:.0f} MB of {MEMORY_MB:.0f}')
            fleet.kill(name, signal.SIGKILL)
            ends[ip] += 1
            await asyncio.sleep(0.3)
            fleet.restart_front(ip)

    runners = [
        deployment.Runner(fleet, service='registry', run=run, name=f'reg-{n}', slots=SLOTS)
        for n in range(3)
    ]
    watchers = []
    served = lost = 0

    async def send(ip, request_id):
        nonlocal served, lost
        status, _, _ = await deployment.call(
            'POST', ip, fleet.front_port, '/notice/one', BODY,
            {'Host': 'desk.example', 'Request-Id': request_id, 'Deadline-Ms': '1500'},
            timeout_s=DEADLINE_S)
        served += status == 200
        if not status and request_id in began:
            lost += 1
            record.note(f'client: {request_id} has run and gets no answer')

    try:
        if not await fleet.put_config(config(1)):
            raise deployment.CannotRunError('no configuration')
        for runner in runners:
            await runner.start()
        watchers = [asyncio.create_task(platform(ip)) for ip in fronts]
        for number in range(ROUNDS):
            for ip in fronts:
                await fleet.wait_ready(ip)
            await asyncio.sleep(2.0)
            for place, ip in enumerate(fronts):
                names = [f'{number:04x}{place:04x}{n:08x}' for n in range(AT_ONCE)]
                if deployment.trouble():
                    await asyncio.gather(*(send(ip, name) for name in names))
                else:
                    for name in names:
                        await send(ip, name)
            await asyncio.sleep(0.5)
    finally:
        for task in watchers:
            task.cancel()
        for runner in runners:
            await runner.stop()
    for ip in fronts:
        record.note(f'front-{ip}: at most {peaks[ip]:.0f} MB, ended {ends[ip]} times')
    record.note(f'{served} requests served, {lost} ran and were not answered')
    if not deployment.trouble() and served < ROUNDS * AT_ONCE:
        raise deployment.CannotRunError('too few requests were served')
    broken = sum(count >= ENDS for count in ends.values()) >= 2
    return deployment.BROKEN if broken else deployment.HELD


deployment.main(pathlib.Path(__file__).parent, case)
