"""Tests for the log lines about followed control hosts."""

import asyncio
import logging

from limpetroute.forwarding import control_watch
from limpetroute.forwarding import fleet_view
from limpetroute.forwarding import quarantine_client
from limpetroute.platform import http_dialect
from limpetroute.wire import caller

PARTIAL_BODY = b'x' * 1000


def test_a_lost_control_host_is_logged_with_the_reason(caplog):
    """On-call engineers must distinguish a dead host from a slow response."""

    async def stall(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(
            b'HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n' + PARTIAL_BODY
        )
        await reader.read()
        writer.close()

    async def work():
        server = await asyncio.start_server(stall, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        watch = control_watch.ControlWatch(
            view=fleet_view.FleetView(dialect=http_dialect.HttpDialect()),
            http=caller.Caller(),
            urls=lambda: [f'http://127.0.0.1:{port}'],
            host_id='entry-1',
            quarantine=quarantine_client.QuarantineClient(
                http=caller.Caller(), urls=list
            ),
            on_leader=lambda url: None,
        )
        watch.start()
        async with asyncio.timeout(10.0):
            while not caplog.records:
                await asyncio.sleep(0.02)
        watch.stop()
        server.close()

    with caplog.at_level(logging.INFO, 'limpetroute.forwarding'):
        asyncio.run(work())
    record = caplog.records[0]
    assert record.message == 'lost the control host'
    assert record.reason == f'timeout after {len(PARTIAL_BODY)} bytes'
    assert record.took_ms >= 1000 * control_watch.RESPONSE_MARGIN_S
