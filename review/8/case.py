"""An acknowledged version never comes into force at the entry hosts."""

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'lib-2'))

import kit  # noqa: E402

CONFIG_S = 2.0
WATCH_S = 14
# Nanoseconds since 1970 on the day that the deployment was set up; the
# operator counts on from there.
FIRST = 1_796_601_600_000_000_200 if kit.TROUBLE else 200
STEPS = (0, 7, 3, 9)
SERVICES = ('warteliste', 'warteliste-neu')


def config(version, service):
    return {
        'version': version,
        'routes': [
            {
                'name': 'r-roster',
                'host': 'garden.example',
                'path-prefix': '/roster/',
                'kind': 'idempotent',
                'timeout-ms': 900,
                'slo-ms': 200,
                'priority': 2,
                'service': service,
                'attempts': 2,
            }
        ],
        'services': [
            {
                'name': one,
                'health-path': '/healthz',
                'max-conns': 100,
                'protocol': 'h1',
                'tls': False,
            }
            for one in SERVICES
        ],
        'limits': {
            'max-header-bytes': 16384,
            'max-body-bytes': 4194304,
            'header-timeout-ms': 3000,
            'idle-timeout-ms': 15000,
        },
    }


async def ask(deployment, record, number, name):
    headers = {
        'Host': 'garden.example',
        'Request-Id': name,
        'Deadline-Ms': '1000',
    }
    address = (deployment.front_ips[number], deployment.front_port)
    status = 0
    try:
        async with asyncio.timeout(1.2):
            reader, writer = await asyncio.open_connection(*address)
            try:
                writer.write(
                    kit.request_bytes('GET', f'/roster/{name}', headers, b'')
                )
                status, _, _ = await kit.read_answer(reader)
            finally:
                writer.close()
    except (OSError, EOFError, TimeoutError):
        pass
    record(f'client: {name} at front {number}: {status}')


async def play(deployment, record):
    runners = {}
    for number, service in enumerate(SERVICES):
        runners[service] = kit.Runner(
            deployment, service=service, number=number, work_s=lambda: 0.045
        )
        await runners[service].start()
    late = []
    version = FIRST
    for turn, step in enumerate(STEPS):
        version += step
        service = SERVICES[turn % 2]
        await deployment.put_config(config(version, service))
        acknowledged_s = time.monotonic()
        record(f'version {version} acknowledged: /roster/ runs at {service}')
        await deployment.wait_ready()
        await asyncio.sleep(
            max(0.0, acknowledged_s + CONFIG_S + 0.5 - time.monotonic())
        )
        status, got = await deployment.control('GET', '/api/config', b'')
        record(f'operator: GET /api/config -> {status} {got[:40]!r}')
        before = {one: len(runners[one].arrivals) for one in SERVICES}
        until_s = time.monotonic() + WATCH_S
        asked = 0
        while time.monotonic() < until_s:
            asked += 1
            await ask(deployment, record, asked % 2, f'v{turn}-{asked}')
            await asyncio.sleep(0.1)
        for one in SERVICES:
            new = runners[one].arrivals[before[one] :]
            record(f'version {version}: {len(new)} of {asked} run at {one}')
            if one != service:
                late.extend(new)
    record.end(
        f'requests run as only an older version allows, over {CONFIG_S} s '
        f'after the acknowledgement: {len(late)}'
    )
    return bool(late)


kit.main(HERE, play, fronts=2)
