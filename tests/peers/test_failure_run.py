import asyncio

from tests.peers import failure_run
from tests.peers import fleet as fleet_module


def test_seeded_faults_lose_no_answer(tmp_path):
    """Hosts and runners die, freeze, stall and come back, under load.

    Callers resume wherever they get through. None may miss a word, get
    one twice, or get another caller's; no runner may be asked for more
    than it has, or be left with a run that nobody reads.
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
