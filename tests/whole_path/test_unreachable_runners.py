"""An entry host whose links to all runners are cut, on real processes."""

import asyncio
import collections

import pytest

from tests.soak import runner
from tests.whole_path import fleet as fleet_module
from tests.whole_path import partition

KEY = 'a-key-of-the-bank-4jd8'
STREAM_TOKENS = 220
# A request that is sent to a runner takes longer where connections hang.
REFUSAL_S = 0.25
CUTS = [partition.Cut.REFUSE, partition.Cut.RESET, partition.Cut.HANG]


async def _ask_repeatedly(fleet, path, count):
    tasks = []
    for number in range(count):
        call = fleet.ask(0, path, f'{path}{number}'.encode())
        tasks.append(asyncio.create_task(call))
        await asyncio.sleep(0.05)
    return await asyncio.gather(*tasks)


# Guards against callers that are refused because their host alone is cut off.
@pytest.mark.parametrize('cut', CUTS)
def test_a_host_without_a_runner_in_reach_serves_its_callers(tmp_path, cut):
    async def work():
        async with fleet_module.Fleet(tmp_path, partitioned=[0]) as fleet:
            await fleet.partitions[0].cut(cut)
            await asyncio.sleep(1.0)
            for path in ('/safe/x', '/once/x', '/stream/x'):
                answers = await _ask_repeatedly(fleet, path, 8)
                statuses = [status for status, _, _ in answers]
                assert statuses.count(200) >= 7, (path, statuses)
            await fleet.partitions[0].heal()
            await asyncio.sleep(1.0)
            answers = await _ask_repeatedly(fleet, '/once/x', 4)
            assert [status for status, _, _ in answers] == [200] * 4
            runs = [run for one in fleet.world.runners for run in one.runs]
            assert len(runs) == len(set(runs))

    asyncio.run(work())


# Guards against keys that get past, or out through, a second host.
def test_keys_and_teams_hold_through_another_host(tmp_path):
    async def work():
        teams = [{'name': 'bank', 'api-keys': [KEY]}]
        async with fleet_module.Fleet(
            tmp_path, teams, KEY, partitioned=[0]
        ) as fleet:
            await fleet.partitions[0].cut()
            await asyncio.sleep(1.0)
            await fleet.ask(0, '/safe/x', b'finds out')
            for path in ('/once/x', '/stream/x'):
                statuses = [
                    (await fleet.ask(0, path, b'behind', key=key))[0]
                    for key in (KEY, 'never-a-key-3kd9', '')
                ]
                assert statuses == [200, 401, 401]
            ran = [
                (team, credentials)
                for one in fleet.world.runners
                for _, _, team, credentials, _ in one.callers
            ]
            assert set(ran) == {('bank', '')}
            processes = [*fleet.world.controls, *fleet.world.forwards]
            logs = ''.join(process.log() for process in processes)
            assert KEY not in logs
            assert 'passed to another entry host' in logs

    asyncio.run(work())


# Guards against sound runners that one host without links has ejected for all,
# and against streams that break off with its links.
@pytest.mark.parametrize('cut', CUTS)
def test_streams_at_all_hosts_go_on_while_one_is_cut_off(tmp_path, cut):
    async def work():
        async with fleet_module.Fleet(tmp_path, partitioned=[0]) as fleet:
            asked = {0: [], 1: []}
            for number in range(40):
                if number == 10:
                    await fleet.partitions[0].cut(cut)
                for host, tasks in asked.items():
                    body = f'{host} {number}'.encode()
                    call = fleet.ask(host, '/stream/x', body)
                    tasks.append(asyncio.create_task(call))
                await asyncio.sleep(0.1)
            for tasks in asked.values():
                answers = await asyncio.gather(*tasks)
                assert [status for status, _, _ in answers] == [200] * 40
                events = [body.count(b'id: ') for _, _, body in answers]
                assert events == [runner.EVENTS] * 40

    asyncio.run(work())


async def _ask_both(fleet, path, count):
    """Return the statuses, and how long the slowest answer took."""
    loop = asyncio.get_running_loop()
    statuses = collections.Counter()
    longest_s = 0.0
    for number in range(count):
        started_s = loop.time()
        status, _, _ = await fleet.ask(number, path, b'x')
        longest_s = max(longest_s, loop.time() - started_s)
        statuses[status] += 1
    return statuses, longest_s


# Guards against requests that go round between hosts none of which reaches a
# runner, and against hosts that do not notice the end of a cut.
@pytest.mark.parametrize('cut', [partition.Cut.REFUSE, partition.Cut.HANG])
def test_hosts_that_are_all_cut_off_refuse_at_once(tmp_path, cut):
    async def work():
        async with fleet_module.Fleet(tmp_path, partitioned=[0, 1]) as fleet:
            before = sum(len(one.runs) for one in fleet.world.runners)
            for one in fleet.partitions:
                await one.cut(cut)
            # Each host finds out by its own requests.
            await _ask_both(fleet, '/safe/x', 4)
            for path in ('/once/x', '/stream/x'):
                statuses, longest_s = await _ask_both(fleet, path, 20)
                assert statuses == {503: 20}, path
                assert longest_s < REFUSAL_S, path
            passed = [
                one.log().count('passed to another')
                for one in fleet.world.forwards
            ]
            # 44 requests, each of which the other host declines once.
            assert sum(passed) <= 44
            after = sum(len(one.runs) for one in fleet.world.runners)
            assert after == before
            for one in fleet.partitions:
                await one.heal()
            await asyncio.sleep(1.0)
            for path in ('/once/x', '/stream/x'):
                statuses, _ = await _ask_both(fleet, path, 4)
                assert statuses == {200: 4}, path

    asyncio.run(work())


# Guards against a stream that goes on for nobody at the host behind.
def test_a_stream_through_another_host_ends_with_its_caller(
    tmp_path, monkeypatch
):
    async def work():
        async with fleet_module.Fleet(tmp_path, partitioned=[0]) as fleet:
            await fleet.partitions[0].cut()
            await _ask_repeatedly(fleet, '/safe/x', 4)
            monkeypatch.setattr(runner, 'EVENT_S', 0.4)
            link = await fleet.open(0, '/stream/x', b'x')
            async for _ in link.chunks(idle_timeout_s=5.0):
                break
            streaming = [
                one for one in fleet.world.runners if one.open_connections
            ]
            assert len(streaming) == 1
            link.close()
            # The runner writes to a closed connection twice until it knows.
            await asyncio.sleep(2.0)
            assert not streaming[0].open_connections

    asyncio.run(work())


# Guards against a quota that two hosts charge, or neither of them.
def test_a_quota_holds_through_another_host(tmp_path):
    rate, burst, window_s = 440.0, 880.0, 8.0
    quota = {'rate-per-s': rate, 'burst': burst, 'unit': 'token_stream'}
    teams = [{'name': 'bank', 'api-keys': [KEY], **quota}]
    allowed = rate * window_s + burst

    async def work():
        async with fleet_module.Fleet(
            tmp_path, teams, KEY, partitioned=[0]
        ) as fleet:
            await fleet.partitions[0].cut()
            await _ask_repeatedly(fleet, '/safe/x', 4)
            tasks = []
            for number in range(80):
                call = fleet.ask(number, '/stream/x', b'x')
                tasks.append(asyncio.create_task(call))
                await asyncio.sleep(0.05)
            answers = await asyncio.gather(*tasks)
            statuses = collections.Counter(one[0] for one in answers)
            assert set(statuses) == {200, 429}, statuses
            used = statuses[200] * STREAM_TOKENS
            assert allowed / 2 < used <= allowed + STREAM_TOKENS, statuses

    asyncio.run(work())
