"""Quarantine of a request that crashes runners, beside harmless ones."""

import json
import random

import hypothesis
from hypothesis import strategies
import pytest

from limpetroute.routing import quarantine
from limpetroute.routing import runner_incarnation

Trial = quarantine.Trial


def _life(number):
    return runner_incarnation.RunnerIncarnation(
        runner_id=f'r{number}', started_ms=number
    )


def _crash(table, number, *silent, begun=()):
    suspects = [
        quarantine.Suspect(fingerprint=name, answer_begun=name in begun)
        for name in (*silent, *begun)
    ]
    table.note_crash(_life(number), suspects)


def test_a_request_is_quarantined_with_the_third_crash():
    table = quarantine.Quarantine()
    _crash(table, 1, 'bad')
    _crash(table, 2, 'bad')
    assert 'bad' not in table
    _crash(table, 3, 'bad')
    assert 'bad' in table
    assert table.requests == ('bad',)


def test_one_crash_reported_by_many_hosts_counts_once():
    table = quarantine.Quarantine()
    for _ in range(5):
        _crash(table, 1, 'good')
    assert 'good' not in table


def test_crashes_of_a_restarted_runner_count_separately():
    table = quarantine.Quarantine()
    for started_ms in (1, 2, 3):
        incarnation = runner_incarnation.RunnerIncarnation(
            runner_id='r', started_ms=started_ms
        )
        suspect = quarantine.Suspect(fingerprint='bad', answer_begun=False)
        table.note_crash(incarnation, [suspect])
    assert 'bad' in table


def test_streams_with_begun_answers_are_not_blamed_beside_a_silent_one():
    """A stream resumed after each crash can meet three within a second."""
    table = quarantine.Quarantine()
    for number in range(3):
        _crash(table, number, 'bad', begun=('good-1', 'good-2'))
    assert table.requests == ('bad',)


def test_a_request_that_crashes_runners_during_its_answer_is_quarantined():
    table = quarantine.Quarantine()
    for number in range(3):
        _crash(table, number, begun=('bad', f'other-{number}'))
    assert table.requests == ('bad',)


def test_a_crash_explained_by_a_quarantined_request_blames_no_other():
    """Other silent requests were present at a trial of a known request."""
    table = quarantine.Quarantine()
    for number in range(3):
        _crash(table, number, 'bad')
    for number in range(3, 6):
        _crash(table, number, 'bad', 'good')
    assert table.requests == ('bad',)


def test_clearing_a_request_moves_the_blame_to_the_others():
    """The harmless request was reported first, which hid the other one."""
    table = quarantine.Quarantine()
    for number in range(3):
        _crash(table, number, 'good')
        _crash(table, number, 'bad')
    assert table.requests == ('good',)
    table.clear('good')
    assert table.requests == ('bad',)


def test_two_indistinguishable_requests_are_both_quarantined():
    table = quarantine.Quarantine()
    for number in range(3):
        _crash(table, number, 'one', 'two')
    assert set(table.requests) == {'one', 'two'}
    table.clear('one')
    assert table.requests == ('two',)


def test_the_trials_of_a_request_are_limited():
    table = quarantine.Quarantine()
    for number in range(3):
        _crash(table, number, 'bad')
    for trials in range(quarantine.MAX_TRIALS):
        assert table.take_trial('bad', trials) is Trial.GRANTED
    assert table.take_trial('bad', quarantine.MAX_TRIALS) is Trial.DENIED
    table.clear('bad')
    assert table.take_trial('bad', 0) is Trial.RELEASED
    assert not table


def test_two_hosts_that_ask_at_once_get_one_trial():
    table = quarantine.Quarantine()
    for number in range(3):
        _crash(table, number, 'bad')
    assert table.take_trial('bad', 0) is Trial.GRANTED
    assert table.take_trial('bad', 0) is Trial.DENIED


def test_many_distinct_requests_take_bounded_memory():
    table = quarantine.Quarantine()
    for request in range(2 * quarantine.MAX_QUARANTINED_REQUESTS):
        for crash in range(3):
            _crash(table, 3 * request + crash, f'bad-{request}')
    for number in range(200):
        _crash(table, 0, f'good-{number}')
    body = table.dump()
    assert len(table.requests) == quarantine.MAX_QUARANTINED_REQUESTS
    # The last quarantined request is kept, the first ones are removed.
    assert f'bad-{2 * quarantine.MAX_QUARANTINED_REQUESTS - 1}' in table
    assert 'bad-0' not in table
    assert len(body['crashes']) == quarantine.MAX_STORED_CRASHES
    most = max(len(suspects) for _, _, suspects in body['crashes'])
    assert most == quarantine.MAX_SUSPECTS_PER_CRASH


def test_a_snapshot_restores_the_same_state():
    table = quarantine.Quarantine()
    for number in range(3):
        _crash(table, number, 'bad', begun=('good',))
    table.take_trial('bad', 0)
    _crash(table, 9, 'third')
    restored = quarantine.Quarantine()
    restored.load(json.loads(json.dumps(table.dump())))
    assert restored.dump() == table.dump()
    assert restored.trial_count('bad') == 1


@pytest.mark.parametrize('seed', range(20))
def test_a_request_at_a_full_runner_is_quarantined(seed):
    """Each runner has 12 requests; some move to the next after a crash."""
    rng = random.Random(seed)
    table = quarantine.Quarantine()
    moved = []
    for number in range(8):
        others = [*moved, *(f'q{number}-{index}' for index in range(11))][:11]
        silent = {name for name in others if rng.random() < 0.25}
        _crash(table, number, 'bad', *silent, begun=set(others) - silent)
        if 'bad' in table:
            break
        moved = rng.sample(others, 4)
    assert 'bad' in table
    assert number == 2
    for name in set(table.requests) - {'bad'}:
        # A harmless request can still be cleared by a trial.
        assert table.take_trial(name, 0) is Trial.GRANTED


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, 6),
            strategies.sampled_from('abcd'),
            strategies.booleans(),
        ),
        max_size=40,
    )
)
def test_a_silent_request_is_quarantined_by_its_third_crash(events):
    """This holds whichever other requests were present or cleared."""
    table = quarantine.Quarantine()
    crashes = set()
    for number, other, cleared in events:
        if cleared:
            table.clear(other)
            continue
        _crash(table, number, 'bad', other)
        crashes.add(number)
        explained = any(name in table for name in 'abcd')
        assert 'bad' in table or len(crashes) < 3 or explained
    for other in 'abcd':
        table.clear(other)
    assert ('bad' in table) == (len(crashes) >= 3)
