import asyncio
import logging

from limpetroute.telemetry import loop_lag


def lags(work):
    """Return what is recorded while some work runs."""
    found = []

    async def run():
        lag = loop_lag.LoopLag(log_from_s=0.06)
        lag.record_to(found.append)
        lag.start()
        await work()
        lag.stop()

    asyncio.run(run())
    return found


async def keep_the_loop_busy():
    await asyncio.sleep(0.01)
    loop = asyncio.get_running_loop()
    until_s = loop.time() + 0.3
    while loop.time() < until_s:
        pass
    await asyncio.sleep(0.01)


def test_work_that_holds_the_loop_up_is_measured_and_logged(caplog):
    """A leader whose loop stood still looked as if it were cut off."""
    with caplog.at_level(logging.WARNING):
        found = lags(keep_the_loop_busy)
    assert max(found) > 0.2
    (record,) = [one for one in caplog.records if 'late' in one.message]
    assert record.lag_ms > 200


def test_waiting_is_no_lag():
    async def wait():
        await asyncio.sleep(0.3)

    found = lags(wait)
    assert len(found) >= 3
    assert min(found) < 0.06
