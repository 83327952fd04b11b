"""Control hosts that run as tasks in the test's process."""

import asyncio
import contextlib
import shutil

from limpetroute.border import control_settings
from limpetroute.control import control_client
from limpetroute.control import http_claim_store
from limpetroute.control import server as server_module
from limpetroute.wire import caller
from tests.whole_path import port_pool

WAIT_S = 20.0


class ControlFleet:
    def __init__(self, folder, hosts=('c1', 'c2', 'c3'), **settings):
        self.folder = folder
        self.ports = {host: port_pool.free_port() for host in hosts}
        self.hosts = hosts
        self.extra = settings
        self.servers = {}

    def url(self, host):
        return f'http://127.0.0.1:{self.ports[host]}'

    def settings(self, host, peers):
        return {
            'host_id': host,
            'zone': 'evere',
            'demo': True,
            'data_dir': str(self.folder / host),
            'listen': {'port': self.ports[host]},
            'peer_urls': [self.url(one) for one in peers if one != host],
            'heartbeat_s': 0.15,
            'election_s': 0.5,
            **self.extra,
        }

    def start(self, host, peers=None, **kwargs):
        body = self.settings(host, peers or self.hosts)
        server = server_module.ControlServer(
            settings=control_settings.ControlSettings.model_validate(body),
            **kwargs,
        )
        server.start()
        self.servers[host] = server

    async def stop(self, host):
        await self.servers.pop(host).stop()

    def lose_disk(self, host):
        shutil.rmtree(self.folder / host)

    def client(self, *hosts):
        return control_client.ControlClient(
            urls=[self.url(host) for host in hosts or self.hosts],
            http=caller.Caller(),
        )

    def store(self, *hosts):
        return http_claim_store.HttpClaimStore(client=self.client(*hosts))

    def leader(self, group=0):
        for host, server in self.servers.items():
            one = server.node.groups[group]
            if one.replica.can_read(one.now_s):
                return host
        return None

    async def until(self, check):
        async with asyncio.timeout(WAIT_S):
            while not check():
                await asyncio.sleep(0.02)

    async def ready(self):
        await self.until(lambda: self.leader(0) and self.leader(1))

    def voters(self, group=0):
        leader = self.leader(group)
        if leader is None:
            return set()
        members = self.servers[leader].node.groups[group].replica.membership
        return {one.host_id for one in members.members if one.voter}


@contextlib.asynccontextmanager
async def running(folder, **settings):
    fleet = ControlFleet(folder, **settings)
    for host in fleet.hosts:
        fleet.start(host)
    try:
        await fleet.ready()
        yield fleet
    finally:
        for host in list(fleet.servers):
            await fleet.stop(host)
