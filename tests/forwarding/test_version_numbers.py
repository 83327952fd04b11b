"""Tests that versions come into force whatever their numbers are."""

import asyncio

import pytest

from tests.forwarding import large_routes

IN_FORCE_S = 2.5
# Nanoseconds since 1970.
NANOSECONDS = 1_796_601_600_000_000_200
# Too many for the update to be part of the watch's response.
MANY_ROUTES = 3000


async def _is_in_force(follower, version):
    until_s = asyncio.get_running_loop().time() + IN_FORCE_S
    while asyncio.get_running_loop().time() < until_s:
        plan = follower.view.plan
        if plan is not None and plan.version == version:
            return True
        await asyncio.sleep(0.01)
    return False


# Guards against acknowledged versions that never reach an entry host, as
# their numbers are rounded to what a float holds, or look like that of a host
# without a configuration.
@pytest.mark.parametrize(
    ('first', 'steps', 'routes'),
    [
        (0, (1, 1), 2),
        (0, (1, 1), MANY_ROUTES),
        (200, (7, 3, 9), 2),
        (2**53 - 2, (1, 1, 1, 1, 1), 2),
        (2**53 + 3, (1, 1, 1, 1, 1), 2),
        (NANOSECONDS, (7, 3, 9), 2),
        (NANOSECONDS, (7, 3, 9), MANY_ROUTES),
        (2**63 - 20, (7, 3, 9), 2),
    ],
)
def test_each_version_comes_into_force(tmp_path, first, steps, routes):
    async def work():
        late = []
        async with large_routes.following(
            tmp_path, bytes_per_s=20 * large_routes.LINK_BYTES_PER_S
        ) as (fleet, follower):
            follower.watch.start()
            version = first
            for step in (0, *steps):
                version += step
                document = large_routes.text(version, routes + step)
                await large_routes.submit(fleet, version, document)
                if not await _is_in_force(follower, version):
                    late.append(version)
        return late

    assert asyncio.run(work()) == []
