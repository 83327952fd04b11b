"""Tests of numbers in the queries of calls to control hosts."""

import asyncio
import json
import urllib.parse

import pytest

from limpetroute.wire import caller
from tests.control import control_fleet

LARGE = 2**60


async def _get(fleet, path):
    reply = await caller.Caller().call(
        method='GET', url=f'{fleet.url("c1")}{path}', timeout_s=5.0
    )
    return reply.status, reply.body


def _run(tmp_path, work):
    async def whole():
        async with control_fleet.running(tmp_path, hosts=['c1']) as fleet:
            return await work(fleet)

    return asyncio.run(whole())


# Guards against a manifest that never reaches an entry host, as the number
# that the host holds is rounded up to the next one that a float holds.
def test_a_manifest_follows_one_with_a_large_number(tmp_path):
    async def work(fleet):
        for number in (LARGE + 100, LARGE + 107):
            await fleet.client().post(
                path='/v1/manifest',
                body={'number': number, 'sender': 'ci'},
                timeout_s=10.0,
            )
        newer = await _get(
            fleet,
            f'/v1/manifest?after={LARGE + 100}&host=e1&number={LARGE + 100}',
        )
        same = await _get(fleet, f'/v1/manifest?after={LARGE + 107}')
        return newer, same, fleet.servers['c1'].node.reports.all()['e1'].number

    newer, same, reported = _run(tmp_path, work)
    assert json.loads(newer[1])['manifest']['number'] == LARGE + 107
    assert json.loads(same[1])['manifest'] is None
    assert reported == LARGE + 100


# Guards against a host that is told nothing new, or all of it again and again,
# because what it says it holds is not understood.
@pytest.mark.parametrize('word', ['x', '1.5', '1e3', 'nan', 'inf', '1_0', '٣'])
@pytest.mark.parametrize(
    'path',
    [
        '/v1/watch?host=e1&after={}',
        '/v1/watch?host=e1&version={}',
        '/v1/watch?host=e1&term={}',
        '/v1/manifest?host=e1&after={}',
        '/v1/manifest?host=e1&number={}',
        '/v1/routes?offset={}',
    ],
)
def test_what_is_no_integer_is_refused(control, path, word):
    fleet, get = control
    status, body = get(path.format(urllib.parse.quote(word)))
    assert status == 400
    assert repr(word) in json.loads(body)['errors'][0]
    assert 'e1' not in fleet.servers['c1'].node.reports.all()


# Guards against a report that the other control hosts cannot read.
@pytest.mark.parametrize(
    'path',
    ['/v1/watch?host=e1&version=-1', '/v1/manifest?host=e1&number=-1'],
)
def test_a_negative_number_is_not_reported(control, path):
    fleet, get = control
    assert get(path)[0] == 400
    assert 'e1' not in fleet.servers['c1'].node.reports.all()


# Guards against a timer that never ends, or that ends others out of order.
@pytest.mark.parametrize('word', ['x', 'nan', 'inf', '-1'])
@pytest.mark.parametrize('path', ['/v1/watch', '/v1/manifest'])
def test_what_is_no_time_is_refused(control, path, word):
    _, get = control
    status, body = get(f'{path}?wait_s={word}')
    assert status == 400
    assert 'wait_s' in json.loads(body)['errors'][0]


# Guards against calls of earlier releases that are not understood.
def test_absent_and_empty_numbers_stand_for_none(control):
    _, get = control
    status, body = get('/v1/watch?after=&version=&term=&wait_s=')
    assert status == 200
    assert json.loads(body)['routes'] is None
    assert get('/v1/manifest?after=-1&wait_s=0')[0] == 200
    assert get('/v1/manifest')[0] == 200


@pytest.fixture(scope='module')
def control(tmp_path_factory):
    """Return a group of one control host, and a function that calls it."""
    with asyncio.Runner() as runner:
        running = control_fleet.running(
            tmp_path_factory.mktemp('control'), hosts=['c1']
        )
        fleet = runner.run(running.__aenter__())
        yield fleet, lambda path: runner.run(_get(fleet, path))
        runner.run(running.__aexit__(None, None, None))
