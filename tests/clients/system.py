"""The system's processes with low limits, for clients that don't behave."""

import asyncio
import contextlib
import json
import resource

from limpetroute.wire import connection
from tests.clients import crowd as crowd_module
from tests.clients import usage
from tests.soak import world as world_module
from tests.whole_path import fleet as fleet_module
from tests.whole_path import port_pool

# The default of an entry host is 80 MiB, on a machine of 150 MB.
MAX_BODIES_BYTES = 24 << 20
# What an entry host of 150 MB may use with that limit, if 32 MiB are left for
# the answers to requests that are served at the same time.
ENTRY_MB = 150 - 32 - (80 - 24)
# The machine of a control host.
CONTROL_MB = 296
# Most open files of each process, and what has to stay free of them.
MAX_DESCRIPTORS = 1024
FREE_DESCRIPTORS = 64
# How long the crowd is left alone before the first ordinary request.
CROWD_S = 3.0
# Time for one ordinary request, with all its attempts.
ORDINARY_S = 60.0
ATTEMPT_S = 10.0
# Lower than the default, so that a small crowd shows what it adds up to.
MAX_CONTROL_BODY_BYTES = 16 << 20
# Logged by the host that leads the group of the configuration.
LEADS = 'group 0: leader in term'
LIMITS = {
    'max-header-bytes': 16384,
    'max-body-bytes': 4 << 20,
    'header-timeout-ms': 3000,
    'idle-timeout-ms': 15000,
}


class System(fleet_module.Fleet):
    """Three control hosts, two entry hosts and runners."""

    def __init__(
        self,
        folder,
        limits=None,
        timeout_ms=4000,
        descriptors=MAX_DESCRIPTORS,
        padding_bytes=0,
        control_body_bytes=MAX_CONTROL_BODY_BYTES,
    ):
        super().__init__(folder)
        self._padding_bytes = padding_bytes
        self._limits = {**LIMITS, **(limits or {})}
        self._timeout_ms = timeout_ms
        self._descriptors = descriptors
        for process, (host, _) in zip(
            self.world.forwards, self.world.entry_urls, strict=True
        ):
            process.change(
                max_bodies_bytes=MAX_BODIES_BYTES,
                metrics=f'{host}:{port_pool.free_port()}',
                peers=f'{host}:{port_pool.free_port()}',
            )
        for process in self.world.controls:
            process.change(
                metrics=f'{process.name}:{port_pool.free_port()}',
                max_body_bytes=control_body_bytes,
            )

    async def __aenter__(self):
        with max_descriptors(self._descriptors):
            return await super().__aenter__()

    async def _submit(self):
        body = json.loads(world_module.routes(self.version))
        body['limits'] = self._limits
        if self._padding_bytes:
            body['note'] = 'n' * self._padding_bytes
        for route in body['routes']:
            route['timeout-ms'] = self._timeout_ms
        return await self.world.to_control(
            'PUT', '/api/config', json.dumps(body).encode()
        )

    @property
    def entry(self):
        """The first entry host."""
        return self.world.forwards[0]

    @property
    def control(self):
        """The first control host."""
        return self.world.controls[0]

    def control_host(self, leads):
        """Return a control host that leads, or one that does not."""
        for process in self.world.controls:
            if (LEADS in process.log()) == leads:
                return process
        raise LookupError(f'leads={leads}')


@contextlib.contextmanager
def max_descriptors(count):
    """Start processes with a limit of open files."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (count, hard))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


def address_of(process, port):
    """Return the address of a port of a process, by its setting's name."""
    host, _, number = process.settings[port].rpartition(':')
    return host, int(number)


async def press(process, ports, payload, count, is_answered):
    """Have a crowd press on each of some ports; return what was used.

    While the crowd stays open, ``is_answered`` has to become true, and once
    more after it has gone.
    """
    addresses = [address_of(process, port) for port in ports]
    async with usage.Watch(process.pid, addresses[0][0]) as watch:
        async with contextlib.AsyncExitStack() as crowds:
            for address in addresses:
                await crowds.enter_async_context(
                    crowd_module.Crowd(address, payload, count)
                )
            await asyncio.sleep(CROWD_S)
            await until_answered(is_answered, 'beside the crowd')
        await until_answered(is_answered, 'after the crowd')
        assert process.runs, 'the process has ended'
    return watch


async def until_answered(is_answered, when):
    """Repeat one ordinary request until it is answered."""
    await world_module.wait_until(
        is_answered, ORDINARY_S, f'an ordinary request {when}'
    )


async def is_served(address):
    """Return whether an entry host serves an ordinary request."""
    link = connection.Connection(host=address[0], port=address[1])
    try:
        failed = await link.send(
            method='POST',
            path='/safe/x',
            headers={
                'Host': 'h.example',
                'Request-Id': 'ordinary',
                'Deadline-Ms': '4000',
            },
            body=b'ordinary',
            timeout_s=ATTEMPT_S,
        )
        return failed is None and link.status == 200
    finally:
        link.close()


async def has_status(address, request, status):
    """Return whether a request gets this status."""
    try:
        async with asyncio.timeout(ATTEMPT_S):
            got = await exchange(address, request)
    except (OSError, TimeoutError):
        return False
    return got.startswith(f'HTTP/1.1 {status} '.encode())


async def exchange(address, request):
    """Send bytes and return what comes back until the connection ends."""
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(request)
        return await reader.read()
    finally:
        writer.close()
