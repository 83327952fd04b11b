import asyncio
import statistics

from tests.control import process_fleet

KILLS = 3
ENTRIES = 2
RECOVERY_S = 10.0


def test_leader_killed_under_load(tmp_path):
    """The leader's process is killed during submissions and claims.

    Each time, another host becomes leader, every granted claim is found, no
    manifest is lost, and the entry hosts get the newest manifest. Then the
    leader is frozen, another host becomes leader, and the old leader
    changes nothing after it continues.
    """
    fleet = process_fleet.ProcessFleet(tmp_path, ENTRIES)

    async def run():
        load, waits_s = await process_fleet.kill_leaders(fleet, KILLS)
        assert len(load.granted) > 10
        assert statistics.median(waits_s) < RECOVERY_S
        await process_fleet.frozen_leader(fleet, load)

    try:
        asyncio.run(run())
    finally:
        fleet.stop()
