"""A runner that crashed, told from one that broke an answer off."""

import asyncio
import dataclasses

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


def _crashed(runner, *known):
    async def work():
        return await crash_check.has_crashed(runner, _view(*known))

    return asyncio.run(work())


def test_a_runner_that_refuses_connections_has_crashed():
    runner = builders.make_runner('r', port=asyncio.run(_closed_port()))
    assert _crashed(runner, runner)


def test_one_that_takes_connections_only_broke_an_answer_off():
    async def work():
        server = await asyncio.start_server(
            lambda r, w: w.close(), '127.0.0.1', 0
        )
        port = server.sockets[0].getsockname()[1]
        runner = builders.make_runner('r', port=port)
        async with server:
            return await crash_check.has_crashed(runner, _view(runner))

    assert not asyncio.run(work())


def test_one_that_is_cut_off_answers_nothing_and_is_no_evidence(monkeypatch):
    """Each cut would count as a crash of all that was there."""

    async def silent(link, tries_s):
        return call_failed.CallFailed(
            kind=call_failed.FailureKind.CONNECT, sent=False
        )

    monkeypatch.setattr(connection.Connection, 'connect', silent)
    runner = builders.make_runner('r')
    assert not _crashed(runner, runner)


def test_one_that_said_that_it_leaves_has_not_crashed():
    runner = builders.make_runner('r', port=asyncio.run(_closed_port()))
    assert not _crashed(runner, dataclasses.replace(runner, ready=False))
    assert not _crashed(runner)


def test_one_that_has_started_again_is_another_life():
    runner = builders.make_runner('r', port=asyncio.run(_closed_port()))
    assert not _crashed(runner, dataclasses.replace(runner, started_ms=7))
