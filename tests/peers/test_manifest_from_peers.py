import asyncio
import time

from limpetroute.border import entry_settings
from limpetroute.border import manifest
from limpetroute.entry import server as entry_server
from tests.peers import fleet as fleet_module

NOWHERE = 'http://127.0.0.1:9'


def _server(ports, place):
    return entry_server.EntryServer(
        settings=entry_settings.EntrySettings.model_validate(
            {
                'demo': True,
                'host_id': f'e{place}',
                'zone': 'evere',
                'zones': ['evere'],
                'internal_listen': {'port': ports[place]},
                'control_urls': [NOWHERE],
                'peer_urls': [f'http://127.0.0.1:{port}' for port in ports],
                'peers': {**fleet_module.PEERS, 'voters': ['e0', 'e1', 'e2']},
            }
        )
    )


async def _until(true, seconds=15):
    until_s = time.monotonic() + seconds
    while not true():
        assert time.monotonic() < until_s, 'never came true'
        await asyncio.sleep(0.05)


def test_host_cut_off_from_control_learns_from_its_peers():
    """A partition hides every control host from two entry hosts.

    An operator's manifest reaches the third one. The other two must
    have it in force as well, though they hear only their peers; a later
    offer of an older one changes nothing, and hearing a peer does not
    count as hearing control.
    """

    async def story():
        ports = fleet_module.free_ports(3)
        servers = [_server(ports, place) for place in range(3)]
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

    asyncio.run(asyncio.wait_for(story(), 60))
