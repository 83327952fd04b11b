"""Requests under which runners crash, on real processes."""

import asyncio
import time

import pytest

from tests.soak import world as world_module
from tests.whole_path import fleet as fleet_module

# News is this late at most where hosts are in touch.
CONTACT_S = 3.0
MOST_RETRIES = 3
CRASHES = 3


@pytest.mark.parametrize('path', ['/stream/1', '/safe/1', '/once/1'])
def test_a_request_that_crashes_runners_is_not_sent_for_ever(tmp_path, path):
    """Each attempt has a new id and comes to another entry host."""

    async def work():
        async with fleet_module.Fleet(tmp_path) as fleet:
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
        async with fleet_module.Fleet(tmp_path) as fleet:
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
        async with fleet_module.Fleet(tmp_path) as fleet:
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
