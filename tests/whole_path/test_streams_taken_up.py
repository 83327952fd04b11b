"""Streams taken up after hosts were lost, or by ids that say nothing."""

import asyncio

import pytest

from tests.whole_path import stream_caller
from tests.whole_path import version_checks

FOUR = ('v1', 'v2', 'v1', 'v2')
ONE = ('v1', 'v1', 'v1')
CALLERS = 32
# A new leader has all reports of the hosts.
SETTLED_S = 3.0
KEY = 'a-key-of-the-bank-4jd8'
OTHER_KEY = 'other-key-8s2mf'
TEAMS = [
    {'name': 'bank', 'api-keys': [KEY]},
    {'name': 'court', 'api-keys': [OTHER_KEY]},
]
MADE_UP = ['never-was', '', 'x' * 2000, '../q1', '"', 's0-2', '0']


async def _attempt(fleet, name, headers, key=''):
    """Return the caller after one attempt with headers of its own."""
    urls = fleet.world.entry_urls
    one = stream_caller.StreamCaller(urls=urls, name=name, key=key)
    await one.attempt(len(name), headers)
    return one


# Guards against versions that are lost with all entry hosts.
def test_streams_go_on_after_all_entry_hosts_are_killed(tmp_path):
    async def work(fleet):
        callers = await version_checks.leave(fleet, CALLERS)
        fleet.restart(fleet.world.forwards)
        await fleet.wait_until_served()
        await version_checks.take_up(callers)
        version_checks.check_versions(callers)
        version_checks.check_refusals(callers)
        version_checks.check_most_are_whole(callers)

    version_checks.play(tmp_path, FOUR, work)


def _leader(fleet):
    """Return the number of the control host that led last."""
    lines = [
        (line.partition('"time": ')[2], number)
        for number, one in enumerate(fleet.world.controls)
        for line in one.log().splitlines()
        if 'group 0: leader in term' in line
    ]
    return max(lines)[1]


# Guards against versions that are lost with the leader, or with its term.
@pytest.mark.parametrize('spared', ['the leader', 'a follower'])
def test_streams_go_on_after_control_hosts_are_killed(tmp_path, spared):
    async def work(fleet):
        callers = await version_checks.leave(fleet, CALLERS)
        count = len(fleet.world.controls)
        number = _leader(fleet)
        if spared == 'a follower':
            number = (number + 1) % count
        lost = [(number + n) % count for n in range(1, count)]
        fleet.restart([fleet.world.controls[n] for n in lost])
        half = len(callers) // 2
        # Without a leader a host may wait before it refuses.
        await version_checks.take_up(callers[:half])
        await asyncio.sleep(SETTLED_S)
        await version_checks.take_up(callers[half:])
        version_checks.check_versions(callers)
        version_checks.check_refusals(callers[half:])
        version_checks.check_most_are_whole(callers[half:])

    version_checks.play(tmp_path, FOUR, work)


# Guards against a guess where nobody is left who knows a stream.
def test_streams_are_refused_after_all_hosts_are_killed(tmp_path):
    async def work(fleet):
        callers = await version_checks.leave(fleet, CALLERS)
        fleet.kill_all()
        await fleet.wait_until_served()
        await version_checks.take_up(callers)
        version_checks.check_versions(callers)
        version_checks.check_all_refused(callers)

    version_checks.play(tmp_path, FOUR, work)


# Guards against refusals, also of ids that nobody knows, where there was only
# one version.
def test_streams_of_one_version_go_on_after_all_hosts_are_killed(tmp_path):
    async def work(fleet):
        callers = await version_checks.leave(fleet, CALLERS)
        fleet.kill_all()
        await fleet.wait_until_served()
        await version_checks.take_up(callers)
        version_checks.check_refusals(callers)
        version_checks.check_most_are_whole(callers)
        asked = [
            _attempt(
                fleet, f'm{number}', {'Resumes': name, 'Last-Event-Id': '4'}
            )
            for number, name in enumerate(MADE_UP)
        ]
        asked.append(_attempt(fleet, 'without', {'Last-Event-Id': '4'}))
        for one in await asyncio.gather(*asked):
            assert one.attempts[-1].whole, one.attempts
            assert one.events and one.events[0][0] == 5, one.attempts

    version_checks.play(tmp_path, ONE, work)


# Guards against a guess at the host that does not know a stream, while the
# one that began it and the leader are gone.
def test_no_version_is_guessed_without_the_leader_and_the_host(tmp_path):
    async def work(fleet):
        callers = await version_checks.leave(fleet, CALLERS, 0)
        fleet.world.forwards[0].end()
        fleet.restart(fleet.world.controls)
        half = len(callers) // 2
        await version_checks.take_up(callers[:half], [1])
        await asyncio.sleep(SETTLED_S)
        await version_checks.take_up(callers[half:], [1])
        version_checks.check_versions(callers)
        version_checks.check_refusals(callers[half:])

    version_checks.play(tmp_path, FOUR, work)


# Guards against the conclusion that there is one version because the last
# runner of another one is gone.
@pytest.mark.parametrize('way', ['leaves', 'crashes', 'is replaced'])
def test_a_version_that_served_lately_counts(tmp_path, way):
    async def work(fleet):
        callers = await version_checks.leave(fleet, CALLERS)
        last = fleet.world.decodes[1]
        if way == 'leaves':
            await fleet.remove(last)
            await asyncio.sleep(0.5)
        elif way == 'crashes':
            fleet.stop_beats(last)
            last.stop()
        fleet.kill_all()
        if way == 'is replaced':
            await last.crash('v1')
        await fleet.wait_until_served()
        await version_checks.take_up(callers)
        version_checks.check_versions(callers)
        version_checks.check_refusals(callers)

    version_checks.play(tmp_path, ('v1', 'v2', 'v1'), work)


# Guards against a stream that loses its version over several attempts.
def test_a_stream_is_taken_up_again_and_again(tmp_path):
    """Some callers name the attempt that began it, others the last one."""

    async def call(one, number):
        await one.attempt(number, leave_after=3)
        for times in range(1, 4):
            if not one.events:
                return
            headers = {
                'Resumes': one.first_id,
                'Last-Event-Id': str(one.events[-1][0]),
            }
            if number % 4 < 2:
                headers['Resumes'] = one.attempts[-1].request_id
            leave_after = 3 if times < 3 else None
            await one.attempt(number + times, headers, leave_after)

    async def work(fleet):
        callers, tasks = await version_checks.begin(fleet, CALLERS, 0.03, call)
        await asyncio.gather(*tasks)
        version_checks.check_versions(callers)
        version_checks.check_refusals(callers)
        for kind in (0, 2):
            version_checks.check_most_are_whole(
                [
                    one
                    for n, one in enumerate(callers)
                    if n % 4 // 2 * 2 == kind
                ]
            )

    version_checks.play(tmp_path, FOUR, work)


def _check_says_nothing(one):
    attempt = one.attempts[-1]
    assert attempt.is_refusal, attempt
    assert attempt.retry_after is None, attempt
    assert not any(word in attempt.body for word in (b'id: ', b'v1', b'v2')), (
        attempt
    )


# Guards against an id of nobody's, or of another team, that yields a version,
# and against one of two teams that use the same ids.
def test_an_id_that_is_not_known_yields_nothing(tmp_path):
    async def work(fleet):
        ours = await version_checks.leave(fleet, CALLERS, key=KEY)
        theirs = await version_checks.leave(fleet, CALLERS, key=OTHER_KEY)
        hidden = await version_checks.leave(fleet, 8, name='our', key=KEY)
        names = MADE_UP + [one.first_id for one in hidden]
        asked = [
            _attempt(
                fleet,
                f'o{number}',
                {'Resumes': name, 'Last-Event-Id': '4'},
                OTHER_KEY,
            )
            for number, name in enumerate(names)
        ]
        asked.append(_attempt(fleet, 'o', {'Last-Event-Id': '4'}, OTHER_KEY))
        strangers = await asyncio.gather(*asked)
        for one in strangers:
            _check_says_nothing(one)
        version_checks.check_refusals(strangers)
        for callers in (ours, theirs, hidden):
            await version_checks.take_up(callers)
            version_checks.check_versions(callers)
            version_checks.check_refusals(callers)
            version_checks.check_most_are_whole(callers)

    version_checks.play(tmp_path, FOUR, work, teams=TEAMS, key=KEY)


# Guards against a stream that begins anew, and is refused or bound to a
# version, as it names another one.
def test_a_stream_without_its_last_event_begins_anew(tmp_path):
    async def work(fleet):
        callers = await version_checks.leave(fleet, 8)
        names = ['never-was', *(one.first_id for one in callers)]
        asked = [
            _attempt(fleet, f'anew{number}', {'Resumes': name})
            for number, name in enumerate(names)
        ]
        begun = await asyncio.gather(*asked)
        assert all(one.is_whole for one in begun)
        version_checks.check_versions(begun)

    version_checks.play(tmp_path, FOUR, work)
