import asyncio
import time

from limpetroute.border import entry_settings
from limpetroute.border import manifest
from limpetroute.entry import server as entry_server
from tests.peers import fleet as fleet_module
from tests.whole_path import port_pool

UNREACHABLE_URL = 'http://127.0.0.1:9'


def _server(ports, index):
    return entry_server.EntryServer(
        settings=entry_settings.EntrySettings.model_validate(
            {
                'demo': True,
                'host_id': f'e{index}',
                'zone': 'evere',
                'zones': ['evere'],
                'internal_listen': {'port': ports[index]},
                'control_urls': [UNREACHABLE_URL],
                'peer_urls': [f'http://127.0.0.1:{port}' for port in ports],
                'peers': {**fleet_module.PEERS, 'voters': ['e0', 'e1', 'e2']},
            }
        )
    )


async def _until(condition, seconds=15):
    until_s = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < until_s, 'condition not met in time'
        await asyncio.sleep(0.05)


def test_host_cut_off_from_control_learns_from_its_peers():
    """A partition cuts off two entry hosts from all control hosts.

    An operator's manifest reaches a third entry host. The other two must
    receive it from their peers and apply it. An older manifest offered
    later must change nothing, and a message from a peer must not count
    as contact with a control host.
    """

    async def scenario():
        ports = [port_pool.free_port() for _ in range(3)]
        servers = [_server(ports, index) for index in range(3)]
        for server in servers:
            server.start()
        hosts = [server.host for server in servers]
        try:
            hosts[0].watch.offer(manifest.ManifestBody(number=7))
            await _until(lambda: all(host.watch.number == 7 for host in hosts))
            assert all(host.manifest.number == 7 for host in hosts)
            assert not hosts[1].watch.offer(manifest.ManifestBody(number=6))
            assert hosts[1].manifest.number == 7
            assert hosts[1].watch._last_contact_s is None
        finally:
            await asyncio.gather(*(server.stop() for server in servers))

    asyncio.run(asyncio.wait_for(scenario(), 60))
