import asyncio
import statistics

from tests.control import process_fleet

KILLS = 3
ENTRIES = 2
RECOVERY_S = 10.0


def test_leader_killed_under_load(tmp_path):
    """The leader's process is killed under submissions and claims.

    Three times over, another takes over; every granted claim is found,
    no manifest is lost, and the entry hosts end at the newest one. Then
    the leader is frozen, another leads, and its wake changes nothing.
    """
    fleet = process_fleet.ProcessFleet(tmp_path, ENTRIES)

    async def story():
        load, waits_s = await process_fleet.kill_leaders(fleet, KILLS)
        assert len(load.granted) > 10
        assert statistics.median(waits_s) < RECOVERY_S
        await process_fleet.frozen_leader(fleet, load)

    try:
        asyncio.run(story())
    finally:
        fleet.stop()
