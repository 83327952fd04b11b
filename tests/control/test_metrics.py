import asyncio

from limpetroute.border import listen_settings
from limpetroute.control import metrics_component
from limpetroute.wire import caller
from tests.control import seed_fleet
from tests.whole_path import port_pool


def test_a_control_host_exports_its_metrics(tmp_path):
    async def work():
        fleet = seed_fleet.SeedFleet(tmp_path, ['127.0.0.41'], 0)
        fleet.start('127.0.0.41')
        port = port_pool.free_port()
        component = metrics_component.MetricsComponent(
            node=fleet.servers['127.0.0.41'].node,
            listen=listen_settings.ListenSettings(port=port),
        )
        component.start()
        try:
            await fleet.submit('127.0.0.41', 7)
            await asyncio.sleep(0.1)
            got = await caller.Caller().call(
                method='GET',
                url=f'http://127.0.0.1:{port}/metrics',
                timeout_s=2.0,
            )
            text = got.body.decode()
        finally:
            component.stop()
            await fleet.stop_all()
        lines = [
            line.partition('{')[0] + ' ' + line.rpartition(' ')[2]
            for line in text.splitlines()
        ]
        assert 'limpetroute_control_leads 1.0' in lines
        assert 'limpetroute_control_routes_version 7.0' in lines
        assert 'limpetroute_control_voters 1.0' in lines
        assert 'limpetroute_loop_lag_seconds_count' in text

    asyncio.run(work())
