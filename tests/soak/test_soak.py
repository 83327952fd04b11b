"""A short seeded run, and each promise broken once."""

import asyncio

import pytest

from tests.soak import plan
from tests.soak import promises as promises_module
from tests.soak import runner
from tests.soak import soak
from tests.soak import teams
from tests.soak import world as world_module
from tests.whole_path import stream_caller

WHOLE = b''.join(
    f'id: {n}\ndata: q\n\n'.encode() for n in range(1, runner.EVENTS + 1)
)


def test_a_seed_gives_the_same_plan():
    assert plan.make(3, 20) == plan.make(3, 20)
    assert plan.make(3, 20) != plan.make(4, 20)


# Each seed that ever failed stays here, with a line on its cause.
# 27, 34: the check took work done before a runner's farewell was
# acknowledged for work after it, counted from time 0; the runner's times
# are compared with the acknowledgement now.
# 56: a heartbeat that still said "ready" was acknowledged just after the
# runner had been told to leave, 2.4 s before the first one that said so;
# the check counted from the former.
# 74001: a host that had been told to stop still forwarded when the faults
# were over, ended then, and the check did not start it again.
@pytest.mark.parametrize(
    ('seed', 'seconds', 'grows'),
    [
        (1, 6, False),
        (27, 8, False),
        (34, 8, False),
        (56, 8, False),
        (2, 8, True),
        (74001, 12, True),
        (74011, 12, True),
        (74041, 12, True),
    ],
)
def test_promises_hold_under_faults(tmp_path, seed, seconds, grows):
    run = soak.Soak(tmp_path, seed, seconds, grows=grows)
    broken = asyncio.run(run.run())
    logs = {one.name: one.log()[-1500:] for one in run.world.forwards}
    assert not broken, (broken, logs)
    answers = run.promises.answers
    assert sum(one.status == 200 and one.whole for one in answers) > 20


# Guards against acknowledged versions that never come into force, as their
# numbers are rounded to what a float holds.
@pytest.mark.parametrize(
    ('seed', 'first_version'), [(8001, plan.FIRST_VERSIONS[2])]
)
def test_promises_hold_with_large_version_numbers(
    tmp_path, seed, first_version
):
    run = soak.Soak(tmp_path, seed, 8, first_version=first_version)
    broken = asyncio.run(run.run())
    logs = {one.name: one.log()[-1500:] for one in run.world.forwards}
    assert not broken, (broken, logs)
    # The run shows nothing without a change.
    assert run.version > first_version


# 91001: the first host to report was told of no other one for two seconds.
@pytest.mark.parametrize(('seed', 'seconds'), [(91001, 8)])
def test_promises_hold_while_links_to_runners_are_cut(tmp_path, seed, seconds):
    run = soak.Soak(tmp_path, seed, seconds, has_cuts=True)
    broken = asyncio.run(run.run())
    logs = {one.name: one.log()[-1500:] for one in run.world.forwards}
    assert not broken, (broken, logs)
    answers = run.promises.answers
    assert sum(one.status == 200 and one.whole for one in answers) > 20
    passed = [
        one.log().count('passed to another') for one in run.world.forwards
    ]
    # The run shows nothing if no request took the way through another host.
    assert any(passed)


def test_promises_hold_while_sound_runners_are_silent(tmp_path):
    run = soak.Soak(tmp_path, 3, 8, has_silences=True)
    broken = asyncio.run(run.run())
    logs = {one.name: one.log()[-1500:] for one in run.world.forwards}
    assert not broken, (broken, logs)
    # The run shows nothing if no stream met a silence.
    assert any(
        one.kind == 'stream' and one.whole and one.ended_s - one.began_s > 1.0
        for one in run.promises.answers
    )


# Guards against answered requests that close what their callers send next,
# while hosts probe runners that drop all packets.
@pytest.mark.parametrize(('seed', 'seconds'), [(7002, 8), (7006, 8)])
def test_kept_connections_stay_open_while_runners_are_dark(
    tmp_path, seed, seconds
):
    run = soak.Soak(tmp_path, seed, seconds, has_dark=True)
    broken = asyncio.run(run.run())
    logs = {one.name: one.log()[-1500:] for one in run.world.forwards}
    assert not broken, (broken, logs)
    assert run.brief_calls[200] > 100
    # The run shows nothing if no host met a runner that drops its packets.
    sends = [one.log().count('"not_sent"') for one in run.world.forwards]
    assert any(sends)


# Guards against parts of answers that look whole, and invalid statuses.
@pytest.mark.parametrize('seed', [9003])
def test_promises_hold_while_runners_answer_wrongly(tmp_path, seed):
    run = soak.Soak(tmp_path, seed, 8, has_trouble=True)
    broken = asyncio.run(run.run())
    logs = {one.name: one.log()[-1500:] for one in run.world.forwards}
    assert not broken, (broken, logs)
    # The run shows nothing without such answers.
    assert sum(one.troubled for one in run.world.runners) > 5


# Guards against answers that fill a control host because nobody takes them,
# also if the host was frozen and their clients have gone.
@pytest.mark.parametrize('seed', [9301])
def test_control_hosts_keep_to_their_memory_beside_crowds(tmp_path, seed):
    run = soak.Soak(tmp_path, seed, 10, has_crowds=True)
    assert not asyncio.run(run.run())
    # The run shows nothing without crowds.
    assert run.crowds > 2


# Guards against streams with events of two software versions, while a release
# replaces decode runners one by one and hosts are lost.
@pytest.mark.parametrize(('seed', 'seconds'), [(95001, 8)])
def test_streams_keep_to_their_version_under_faults(tmp_path, seed, seconds):
    run = soak.Soak(tmp_path, seed, seconds, has_versions=True)
    broken = asyncio.run(run.run())
    logs = {one.name: one.log()[-1500:] for one in run.world.forwards}
    assert not broken, (broken, logs)
    streams = run.promises.streams
    versions = {version for one in streams for version in one.versions}
    assert len(versions) > 1
    taken_up = [one for one in streams if len(one.attempts) > 1]
    assert sum(one.is_whole for one in taken_up) > 10


# 81001: the check asked for routes as the team that is over its quota.
@pytest.mark.parametrize(('seed', 'seconds'), [(81001, 10)])
def test_teams_keep_their_promises_under_faults(tmp_path, seed, seconds):
    """Keys rotate with each change, and one team is over its quota."""
    run = soak.Soak(tmp_path, seed, seconds, has_teams=True)
    broken = asyncio.run(run.run())
    logs = {one.name: one.log()[-1500:] for one in run.world.forwards}
    assert not broken, (broken, logs)
    answers = run.promises.answers
    assert sum(one.status == 200 and one.whole for one in answers) > 20
    everything = [*run.world.controls, *run.world.forwards]
    assert not any('-key-' in process.log() for process in everything)


@pytest.mark.parametrize(
    ('team', 'credentials', 'tokens'),
    [('calm', '', 0), ('hot', 'Token k', 0), ('hot', '', 100_000)],
)
def test_a_broken_promise_to_a_team_is_seen(team, credentials, tokens):
    one = runner.Runner('p1', 'plain')
    one.callers = [(1.0, 'q', 'hot', '', 0)]
    assert not teams.judge([one], {'q': 'hot'}, 0)
    one.callers.append((2.0, 'q', team, credentials, tokens))
    assert teams.judge([one], {'q': 'hot'}, 0)


@pytest.mark.parametrize(
    ('kind', 'status', 'body', 'runs'),
    [
        ('once', 200, b'q by p1', ['q', 'q']),
        ('once', 503, b'', ['q']),
        ('once', 200, b'other by p1', ['q']),
        ('safe', 200, b'other by p1', ['q']),
        ('stream', 200, WHOLE.replace(b'id: 3\n', b'id: 4\n'), ['q']),
        ('stream', 200, WHOLE[: len(WHOLE) // 2], ['q']),
        ('stream', 200, WHOLE.replace(b'data: q', b'data: z', 1), ['q']),
    ],
)
def test_a_broken_promise_is_seen(kind, status, body, runs):
    one = runner.Runner('p1', 'plain')
    one.runs = runs
    promises = promises_module.Promises()
    promises.took(
        promises_module.Answer(
            request_id='q', kind=kind, status=status, body=body, whole=True
        )
    )
    assert promises.judge([one])


def _broken_off(harms, **fields):
    promises = promises_module.Promises()
    values = {'kind': 'stream', 'began_s': 10.0, 'ended_s': 12.0, **fields}
    promises.took(promises_module.Answer(request_id='q', **values))
    promises.harms = harms
    promises.judge_ends()
    return promises.broken


@pytest.mark.parametrize(
    'harms',
    [
        [],
        [promises_module.Harm(8.0, 9.9)],
        [promises_module.Harm(12.1, 13.0)],
        [promises_module.Harm(8.0, 13.0, host=1)],
    ],
)
def test_an_answer_that_is_broken_off_without_harm_is_seen(harms):
    assert _broken_off(harms, status=200, body=WHOLE[:20])
    assert _broken_off(harms)
    assert not _broken_off(harms, status=503, whole=True)


def test_an_answer_that_is_broken_off_by_harm_is_excused():
    assert not _broken_off([promises_module.Harm(11.0, 11.0)])
    assert not _broken_off([promises_module.Harm(8.0, 10.5, host=0)])
    assert not _broken_off([], ended_s=13.95)


def _stream(*bodies):
    """Return the caller of a stream that got these events."""
    caller = stream_caller.StreamCaller(urls=[], name='s')
    for body in bodies:
        attempt = stream_caller.Attempt(request_id='s', status=200)
        attempt.body = b''.join(
            f'id: {number}\ndata: s\ndata: {version}\n\n'.encode()
            for number, version in body
        )
        caller.attempts.append(attempt)
    caller.attempts[-1].whole = True
    return caller


FIRST = [(n, 'v1') for n in range(1, 5)]
REST = [(n, 'v1') for n in range(5, runner.EVENTS + 1)]


@pytest.mark.parametrize(
    'bodies',
    [
        (FIRST, [(n, 'v2') for n, _ in REST]),
        ([*FIRST, *((n, 'v2') for n, _ in REST)],),
        (FIRST, REST[1:]),
        (FIRST, FIRST[-1:] + REST),
        (FIRST, REST[:-1]),
    ],
)
def test_a_broken_promise_to_a_stream_is_seen(bodies):
    promises = promises_module.Promises()
    promises.streams.append(_stream(FIRST, REST))
    assert not promises.judge([])
    promises.streams.append(_stream(*bodies))
    assert promises.judge([])


def test_a_kept_promise_is_seen_as_one():
    one = runner.Runner('p1', 'plain')
    one.runs = ['q']
    promises = promises_module.Promises()
    promises.took(
        promises_module.Answer(
            request_id='q', kind='stream', status=200, body=WHOLE, whole=True
        )
    )
    promises.read_routes(3, 3)
    assert not promises.judge([one])
    promises.read_routes(2, 3)
    assert promises.broken


def test_only_a_heartbeat_that_says_so_is_a_farewell(tmp_path):
    """The acknowledgement of an earlier one comes after the decision."""

    async def work():
        run = soak.Soak(tmp_path, 1, 1.0)
        one = run.world.runners[2]
        said = []

        async def beat(runner_):
            said.append(runner_.leaving)
            one.leaving = True
            return True

        run.world.beat = beat
        task = asyncio.create_task(run._beat(one))
        await asyncio.sleep(0.1)
        first = one.draining_since
        await asyncio.sleep(0.6)
        task.cancel()
        return said, first, one.draining_since

    said, first, later = asyncio.run(work())
    assert said[:2] == [False, True]
    assert first is None
    assert later is not None


# Guards against a check that takes a team's 429 for a route not in force.
def test_checks_of_the_routes_use_no_team_with_a_quota(tmp_path):
    run = soak.Soak(tmp_path, 1, 1.0, has_teams=True)
    sent = []

    async def send(answer, number, path):
        sent.append(number)

    run._send = send
    assert not asyncio.run(run._serves())
    assert teams.HOT not in {teams.name_of(number) for number in sent}
    hosts = {number % world_module.FORWARDS for number in sent}
    assert hosts == set(range(world_module.FORWARDS))


def test_work_long_after_an_acknowledged_farewell_is_seen(tmp_path):
    run = soak.Soak(tmp_path, 1, 1.0)
    one = run.world.runners[2]
    one.draining_since = 100.0
    one.served_s = [99.0, 101.0]
    run._judge_drains()
    assert not run.promises.broken
    one.served_s.append(103.0)
    run._judge_drains()
    assert run.promises.broken
