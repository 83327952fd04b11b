"""Requests under which runners crash, on real processes."""

import asyncio
import time

import pytest

from limpetroute.wire import connection
from tests.soak import world as world_module

BASE = 18
ALWAYS = 1_000_000
# News is this late at most where hosts are in touch.
CONTACT_S = 3.0
MOST_RETRIES = 3
CRASHES = 3


class Fleet:
    """Three control hosts, two entry hosts, runners that may crash."""

    def __init__(self, folder):
        self.world = world_module.World(folder, BASE)
        self._beats = []
        self._asked = 0

    async def __aenter__(self):
        await self.world.start()
        self._beats = [
            asyncio.create_task(self._beat(one)) for one in self.world.runners
        ]
        await world_module.wait_until(self._submit, 15, 'the first routes')
        for host in range(world_module.FORWARDS):
            await world_module.wait_until(
                lambda host=host: self._serves(host), 15, 'a first answer'
            )
        return self

    async def __aexit__(self, *exc):
        for task in self._beats:
            task.cancel()
        self.world.end()

    def make_fatal(self, body, times=ALWAYS):
        """Have a request crash each runner that runs it, so often."""
        fatal = {body: times}
        for one in self.world.runners:
            one.fatal = fatal

    def kill_all(self):
        """Kill all hosts and start them again; no group is founded."""
        processes = [*self.world.controls, *self.world.forwards]
        for process in processes:
            process.end()
        for process in self.world.controls:
            process.change(may_found=False)
        for process in processes:
            process.start()

    def arrivals_s(self, body):
        found = [
            at_s
            for one in self.world.runners
            for at_s, arrived, _ in one.arrivals
            if arrived == body
        ]
        return sorted(found)

    async def ask(self, host, path, body):
        """Return the status, Retry-After and body of one attempt."""
        self._asked += 1
        headers = {
            'Host': 'h.example',
            'Request-Id': f'q{self._asked}',
            'Deadline-Ms': '4000',
        }
        if path.startswith('/stream/'):
            headers['Token-Usage'] = '100,120'
        address = self.world.entry_urls[host % world_module.FORWARDS]
        link = connection.Connection(host=address[0], port=address[1])
        failed = await link.send(
            method='POST',
            path=path,
            headers=headers,
            body=body,
            timeout_s=5.0,
        )
        if failed is not None:
            return 0, 0.0, b''
        got = b''
        async for chunk in link.chunks(idle_timeout_s=5.0):
            got += chunk
        link.close()
        return link.status, float(link.headers.get('Retry-After', 0)), got

    async def _submit(self):
        body = world_module.routes(1)
        return await self.world.to_control('PUT', '/api/config', body)

    async def _serves(self, host):
        plain = await self.ask(host, '/safe/x', b'first')
        stream = await self.ask(host, '/stream/x', b'first')
        return (plain[0], stream[0]) == (200, 200)

    async def _beat(self, one):
        while True:
            await self.world.beat(one)
            await asyncio.sleep(0.2)


@pytest.mark.parametrize('path', ['/stream/1', '/safe/1', '/once/1'])
def test_a_request_that_crashes_runners_is_not_sent_for_ever(tmp_path, path):
    """Each attempt has a new id and comes to another entry host."""

    async def work():
        async with Fleet(tmp_path) as fleet:
            fleet.make_fatal(b'fatal')
            until_s = time.monotonic() + 9.0
            while time.monotonic() < until_s:
                await fleet.ask(fleet._asked, path, b'fatal')
                await asyncio.sleep(0.1)
            others = await fleet.ask(0, path, b'another')
            return fleet.arrivals_s(b'fatal'), others[0]

    arrivals_s, others = asyncio.run(work())
    assert len(arrivals_s) >= CRASHES
    third_s = arrivals_s[CRASHES - 1]
    late = [at_s for at_s in arrivals_s if at_s > third_s + CONTACT_S]
    assert len(late) <= MOST_RETRIES, (
        f'a request under which {CRASHES} runners had crashed was sent '
        f'{len(late)} times more; {len(arrivals_s)} crashed in all'
    )
    assert others == 200


def test_a_quarantine_outlives_all_processes(tmp_path):
    """All hosts are killed at one moment after the third crash."""

    async def work():
        async with Fleet(tmp_path) as fleet:
            fleet.make_fatal(b'fatal')
            until_s = time.monotonic() + 4.0
            while time.monotonic() < until_s:
                await fleet.ask(fleet._asked, '/stream/1', b'fatal')
                await asyncio.sleep(0.1)
            fleet.kill_all()
            for host in range(world_module.FORWARDS):
                await world_module.wait_until(
                    lambda host=host: fleet._serves(host), 15, 'an answer'
                )
            until_s = time.monotonic() + 5.0
            while time.monotonic() < until_s:
                await fleet.ask(fleet._asked, '/stream/1', b'fatal')
                await asyncio.sleep(0.1)
            return fleet.arrivals_s(b'fatal')

    arrivals_s = asyncio.run(work())
    third_s = arrivals_s[CRASHES - 1]
    late = [at_s for at_s in arrivals_s if at_s > third_s + CONTACT_S]
    assert len(late) <= MOST_RETRIES


@pytest.mark.parametrize('path', ['/stream/1', '/safe/1', '/once/1'])
def test_a_request_at_runners_that_crash_by_themselves_is_served(
    tmp_path, path
):
    """A caller that comes back as told is served after three crashes."""

    async def work():
        async with Fleet(tmp_path) as fleet:
            fleet.make_fatal(b'unlucky', CRASHES)
            seen = []
            until_s = time.monotonic() + 12.0
            while time.monotonic() < until_s:
                status, retry_after_s, _ = await fleet.ask(
                    fleet._asked, path, b'unlucky'
                )
                seen.append((status, retry_after_s))
                if status == 200:
                    break
                await asyncio.sleep(min(retry_after_s or 0.3, 4.0))
            return seen, fleet.arrivals_s(b'unlucky')

    seen, arrivals_s = asyncio.run(work())
    assert seen[-1][0] == 200, (seen, len(arrivals_s))
    assert len(arrivals_s) == CRASHES + 1
