import asyncio
import logging

from limpetroute.telemetry import loop_lag


def lags(work):
    """Return the lags that are recorded while ``work`` runs."""
    recorded_s = []

    async def run():
        lag = loop_lag.LoopLag(log_from_s=0.06)
        lag.record_to(recorded_s.append)
        lag.start()
        await work()
        lag.stop()

    asyncio.run(run())
    return recorded_s


async def keep_the_loop_busy():
    await asyncio.sleep(0.01)
    loop = asyncio.get_running_loop()
    end_s = loop.time() + 0.3
    while loop.time() < end_s:
        pass
    await asyncio.sleep(0.01)


def test_blocking_work_is_measured_and_logged(caplog):
    """A leader with a blocked event loop looked like a partitioned one."""
    with caplog.at_level(logging.WARNING):
        recorded_s = lags(keep_the_loop_busy)
    assert max(recorded_s) > 0.2
    (record,) = [entry for entry in caplog.records if 'late' in entry.message]
    assert record.lag_ms > 200


def test_sleeping_tasks_cause_no_lag():
    async def wait():
        await asyncio.sleep(0.3)

    recorded_s = lags(wait)
    assert len(recorded_s) >= 3
    assert min(recorded_s) < 0.06
