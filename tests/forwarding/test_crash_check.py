"""Tests that a crash is distinguished from a broken-off response."""

import asyncio
import dataclasses

import pytest

from limpetroute.forwarding import crash_check
from limpetroute.forwarding import fleet_view
from limpetroute.platform import http_dialect
from limpetroute.wire import call_failed
from limpetroute.wire import connection
from tests.routing import builders


def _view(*runners):
    view = fleet_view.FleetView(dialect=http_dialect.HttpDialect())
    for one in runners:
        view._runners[one.runner_id] = one
    return view


async def _closed_port():
    server = await asyncio.start_server(lambda r, w: w.close(), '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    server.close()
    await server.wait_closed()
    return port


def _row(runner, state):
    return {
        'runner_id': runner.runner_id,
        'address': runner.address,
        'state': state,
        'text': runner.detail(),
    }


def _crashed(runner, *view_runners):
    async def work():
        return await crash_check.has_crashed(runner, _view(*view_runners))

    return asyncio.run(work())


def test_a_runner_that_refuses_connections_has_crashed():
    runner = builders.make_runner('r', port=asyncio.run(_closed_port()))
    assert _crashed(runner, runner)


def test_a_runner_that_accepts_connections_has_not_crashed():
    async def work():
        server = await asyncio.start_server(
            lambda r, w: w.close(), '127.0.0.1', 0
        )
        port = server.sockets[0].getsockname()[1]
        runner = builders.make_runner('r', port=port)
        async with server:
            return await crash_check.has_crashed(runner, _view(runner))

    assert not asyncio.run(work())


def test_an_unreachable_runner_does_not_count_as_crashed(monkeypatch):
    """Otherwise each network failure would look like a crash.

    All requests at the runner would then count as suspects.
    """

    async def silent(link, tries_s):
        return call_failed.CallFailed(
            kind=call_failed.FailureKind.CONNECT, sent=False
        )

    monkeypatch.setattr(connection.Connection, 'connect', silent)
    runner = builders.make_runner('r')
    assert not _crashed(runner, runner)


def test_a_runner_that_announced_its_leaving_has_not_crashed():
    runner = builders.make_runner('r', port=asyncio.run(_closed_port()))
    assert not _crashed(runner, dataclasses.replace(runner, ready=False))
    view = _view(runner)
    view.apply_runners({'index': 1, 'runners': [_row(runner, 'gone')]})
    assert not asyncio.run(crash_check.has_crashed(runner, view))


# Guards against a request that crashes one runner after the other and is
# never counted, because each of them has just come and only the leader that
# places streams there knows it.
def test_a_runner_that_the_host_has_not_heard_of_has_crashed():
    runner = builders.make_runner('r', port=asyncio.run(_closed_port()))
    assert _crashed(runner)


# Guards against a runner under an earlier identity that hides a crash.
@pytest.mark.parametrize(
    ('left_ms', 'started_ms', 'crashed'), [(3, 7, True), (7, 7, False)]
)
def test_only_the_start_of_a_runner_that_left_is_gone(
    left_ms, started_ms, crashed
):
    runner = builders.make_runner(
        'r', port=asyncio.run(_closed_port()), started_ms=started_ms
    )
    left = dataclasses.replace(runner, started_ms=left_ms)
    view = _view()
    view.apply_runners({'index': 1, 'runners': [_row(left, 'gone')]})
    found = asyncio.run(crash_check.has_crashed(runner, view))
    assert found == crashed


def test_a_restarted_runner_has_not_crashed():
    runner = builders.make_runner('r', port=asyncio.run(_closed_port()))
    assert not _crashed(runner, dataclasses.replace(runner, started_ms=7))
