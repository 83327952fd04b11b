"""Many large bodies at once, on real processes."""

import asyncio

from tests.soak import bodies
from tests.whole_path import fleet as fleet_module

ROUNDS = 3
MORE = 40


async def _play(tmp_path, count, rounds):
    async with fleet_module.Fleet(tmp_path) as fleet:
        watch = bodies.MemoryWatch(fleet.world.forwards)
        task = asyncio.create_task(watch.run())
        found = {}
        for number in range(rounds):
            for host, address in enumerate(fleet.world.entry_urls):
                name = f'body-{number}-{host}'
                found |= await bodies.flood(address, name, count)
        task.cancel()
        ran = {name for one in fleet.world.runners for name in one.runs}
        return found, ran, watch.peak_mb


# Guards against entry hosts that end by their memory, as each body is held
# about three times and nothing bounds all of them together.
def test_large_bodies_that_fit_are_served(tmp_path):
    found, ran, peak_mb = asyncio.run(_play(tmp_path, bodies.AT_ONCE, ROUNDS))
    assert set(found.values()) == {200}
    assert ran >= set(found)
    assert peak_mb < bodies.MEMORY_MB


# Guards against bodies that are kept although they fit no more, and against
# refusals of requests that a runner gets.
def test_large_bodies_that_do_not_fit_are_refused(tmp_path):
    found, ran, peak_mb = asyncio.run(_play(tmp_path, MORE, 1))
    assert set(found.values()) == {200, 503}
    served = {name for name, status in found.items() if status == 200}
    assert ran & set(found) == served
    assert len(served) >= bodies.AT_ONCE
    assert peak_mb < bodies.MEMORY_MB
