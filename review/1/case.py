"""Three control hosts are replaced, the third once two successors had their time.

With TROUBLE=0 no host is replaced.
"""

import asyncio
import pathlib
import shutil
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'lib'))
import deployment  # noqa: E402

SUCCESSOR_S = 1.0  # the pages' x
CATCH_UP_S = 4.0  # catch-up-s
# For the start of a process, beside what the bounds ask for.
MARGIN_S = 0.6
SETTLE_S = 20.0
READ_FOR_S = 10.0  # the pages ask for contact-ms, 3 s, at least


def config(version):
    return {
        'version': version,
        'routes': [
            {
                'name': 'status-lookup', 'host': 'desk.example',
                'path-prefix': '/status/', 'kind': 'idempotent',
                'timeout-ms': 800, 'slo-ms': 300, 'priority': 2,
                'service': 'registry', 'attempts': 2, 'sticky': False,
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


async def case(record, make):
    fleet = make(control=5, tolerated=2)
    for ip in fleet.control_ips:
        fleet.start_control(ip, bootstrap=True)
    if not await fleet.put_config(config(1)):
        raise deployment.CannotRunError('no configuration')
    await asyncio.sleep(4.0)
    if not await fleet.put_config(config(2)):
        raise deployment.CannotRunError('no second configuration')

    def lose(ip):
        fleet.kill(f'control-{ip}')
        fleet.control_ips.remove(ip)
        shutil.rmtree(fleet.folder / f'data-{ip}')
        record.note(f'{ip} is gone for good, with its disk')

    def add():
        ip = fleet.new_ip()
        # The seeds of a new machine are those in the operator's list now.
        fleet.seeds = [f'{one}:{fleet.public_port}' for one in fleet.control_ips[:3]]
        fleet.control_ips.append(ip)
        fleet.start_control(ip, bootstrap=False)

    if deployment.trouble():
        first, second, third = fleet.control_ips[0], fleet.control_ips[3], fleet.control_ips[1]
        lose(first)
        lose(second)
        await asyncio.sleep(SUCCESSOR_S)
        add()
        add()
        await asyncio.sleep(CATCH_UP_S + MARGIN_S)
        if not await fleet.put_config(config(3)):
            raise deployment.CannotRunError('the two losses are borne no more')
        lose(third)
        await asyncio.sleep(SUCCESSOR_S)
        add()
    await asyncio.sleep(SETTLE_S)
    acknowledged = 3 if deployment.trouble() else 2
    read = []
    until_s = record.now_s() + READ_FOR_S
    while record.now_s() < until_s:
        for ip in fleet.control_ips:
            status, version = await fleet.get_config(ip)
            record.note(f'operator: reads at {ip}: status {status}, version {version}')
            if status == 200:
                read.append(version)
        await asyncio.sleep(1.0)
    if any(version < acknowledged for version in read):
        record.note('CONFIG: an older version was read')
        return deployment.BROKEN
    if not read:
        record.note(f'CONFIG: version {acknowledged} was acknowledged and no read gets it')
        return deployment.BROKEN
    return deployment.HELD


deployment.main(pathlib.Path(__file__).parent, case)
