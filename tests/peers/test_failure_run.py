import asyncio

from tests.peers import failure_run
from tests.peers import fleet as fleet_module


def test_seeded_faults_lose_no_answer(tmp_path):
    """Hosts and runners die, freeze, stall and restart under load.

    Callers resume at any host that answers. No caller may miss a word,
    receive one twice, or receive one of another caller. No runner may be
    filled beyond its capacity or be left with a run that has no caller.
    """
    fleet = fleet_module.Fleet(tmp_path)
    try:
        fleet.start()
        run = failure_run.FailureRun(fleet, seed=5, seconds=12)
        got = asyncio.run(asyncio.wait_for(run.run(), 100))
    finally:
        fleet.stop()
    assert got['requests'] > 20
    assert got['whole'] > 0.8 * got['requests']
    for name in ('lost', 'doubled', 'torn', 'crossed', 'kv_held'):
        assert got[name] == 0, got
    assert got['over_asked'] == 0, got
    assert got['started_twice'] == 0, got
