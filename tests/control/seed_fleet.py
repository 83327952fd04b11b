"""Control hosts on 127.0.0.x that bootstrap their group from seeds."""

import asyncio
import dataclasses
import shutil

from limpetroute.border import control_settings
from limpetroute.control import command_submitter
from limpetroute.control import server as server_module
from limpetroute.wire import caller
from tests.whole_path import port_pool

WAIT_S = 20.0


class SeedFleet:
    """A group of seeds whose hosts are loopback IP addresses."""

    def __init__(self, folder, seeds, tolerated_losses=2):
        self.folder = folder
        self.port = port_pool.free_port()
        self.seeds = seeds
        self.tolerated_losses = tolerated_losses
        self.servers = {}

    def start(self, host, *, may_found=True, seeds=None, files=None):
        settings = control_settings.ControlSettings.model_validate(
            {
                'host_id': host,
                'zone': 'a',
                'demo': True,
                'data_dir': str(self.folder / host),
                'listen': f'{host}:{self.port}',
                'seeds': [f'{one}:1' for one in seeds or self.seeds],
                'tolerated_losses': self.tolerated_losses,
                'may_found': may_found,
                'heartbeat_s': 0.1,
                'election_s': 0.4,
            }
        )
        server = server_module.ControlServer(settings=settings, files=files)
        server.start()
        self.servers[host] = server

    async def stop(self, *hosts):
        for host in hosts:
            await self.servers.pop(host).stop()

    async def stop_all(self):
        await self.stop(*list(self.servers))

    async def lose(self, *hosts):
        """End hosts at once and for good, with their disks."""
        servers = [self.servers.pop(host) for host in hosts]
        await asyncio.gather(*(server.stop() for server in servers))
        for host in hosts:
            self.lose_disk(host)

    def lose_disk(self, host):
        shutil.rmtree(self.folder / host)

    def submitter(self, host):
        node = self.servers[host].node
        return command_submitter.CommandSubmitter(
            node=node,
            http=caller.Caller(),
            parse_services=lambda text: frozenset(),
        )

    def leader(self):
        """Return the host that leads with a valid lease, or None."""
        for host, server in self.servers.items():
            if server.node.config.replica.lease_valid(server.node.now_s):
                return host
        return None

    def voters(self):
        """Return the hosts of the voters in the leader's membership."""
        leader = self.leader()
        if leader is None:
            return []
        members = self.servers[leader].node.config.replica.membership.members
        return sorted(one.host_id for one in members if one.voter)

    async def until(self, check):
        async with asyncio.timeout(WAIT_S):
            while not check():
                await asyncio.sleep(0.02)

    async def submit(self, host, version, text='{}'):
        """Submit a version until it is acknowledged."""
        async with asyncio.timeout(WAIT_S):
            while True:
                got = await self.submitter(host).submit_routes(
                    version=version, digest=text, text=text
                )
                if not isinstance(got, command_submitter.Unconfirmed):
                    return got
                await asyncio.sleep(0.05)

    async def read(self, host):
        """Return the newest version, once a read is confirmed."""
        async with asyncio.timeout(WAIT_S):
            while True:
                got = await self.submitter(host).newest_routes()
                if not isinstance(got, command_submitter.Unconfirmed):
                    return dataclasses.asdict(got)['version']
                await asyncio.sleep(0.05)
