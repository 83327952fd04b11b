"""A request that crashes runners, among others that only were there."""

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
        quarantine.Suspect(fingerprint=one, answer_begun=one in begun)
        for one in (*silent, *begun)
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


def test_one_crash_told_by_many_hosts_counts_once():
    table = quarantine.Quarantine()
    for _ in range(5):
        _crash(table, 1, 'good')
    assert 'good' not in table


def test_another_start_of_a_runner_is_another_crash():
    table = quarantine.Quarantine()
    for started_ms in (1, 2, 3):
        incarnation = runner_incarnation.RunnerIncarnation(
            runner_id='r', started_ms=started_ms
        )
        suspect = quarantine.Suspect(fingerprint='bad', answer_begun=False)
        table.note_crash(incarnation, [suspect])
    assert 'bad' in table


def test_streams_that_were_written_are_not_blamed_beside_a_silent_one():
    """Moved on from crash to crash, they met three in a second."""
    table = quarantine.Quarantine()
    for number in range(3):
        _crash(table, number, 'bad', begun=('good-1', 'good-2'))
    assert table.requests == ('bad',)


def test_a_request_that_crashes_runners_in_mid_answer_is_found():
    table = quarantine.Quarantine()
    for number in range(3):
        _crash(table, number, begun=('bad', f'other-{number}'))
    assert table.requests == ('bad',)


def test_a_crash_that_is_explained_is_nobody_elses():
    """Silent requests that came while a known one was tried again."""
    table = quarantine.Quarantine()
    for number in range(3):
        _crash(table, number, 'bad')
    for number in range(3, 6):
        _crash(table, number, 'bad', 'good')
    assert table.requests == ('bad',)


def test_one_that_is_cleared_leaves_the_blame_to_the_others():
    """The harmless one was told first and hid the other."""
    table = quarantine.Quarantine()
    for number in range(3):
        _crash(table, number, 'good')
        _crash(table, number, 'bad')
    assert table.requests == ('good',)
    table.clear('good')
    assert table.requests == ('bad',)


def test_two_that_cannot_be_told_apart_are_both_kept():
    table = quarantine.Quarantine()
    for number in range(3):
        _crash(table, number, 'one', 'two')
    assert set(table.requests) == {'one', 'two'}
    table.clear('one')
    assert table.requests == ('two',)


def test_a_request_is_tried_again_a_few_times_in_all():
    table = quarantine.Quarantine()
    for number in range(3):
        _crash(table, number, 'bad')
    for taken in range(quarantine.MAX_TRIALS):
        assert table.take_trial('bad', taken) is Trial.GRANTED
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


def test_many_distinct_requests_take_a_bounded_place():
    table = quarantine.Quarantine()
    for request in range(2 * quarantine.MAX_QUARANTINED_REQUESTS):
        for crash in range(3):
            _crash(table, 3 * request + crash, f'bad-{request}')
    for number in range(200):
        _crash(table, 0, f'good-{number}')
    body = table.dump()
    assert len(table.requests) == quarantine.MAX_QUARANTINED_REQUESTS
    # The one that was found last is there, the first are not.
    assert f'bad-{2 * quarantine.MAX_QUARANTINED_REQUESTS - 1}' in table
    assert 'bad-0' not in table
    assert len(body['crashes']) == quarantine.MAX_STORED_CRASHES
    most = max(len(suspects) for _, _, suspects in body['crashes'])
    assert most == quarantine.MAX_SUSPECTS_PER_CRASH


def test_a_table_is_the_same_after_a_snapshot():
    table = quarantine.Quarantine()
    for number in range(3):
        _crash(table, number, 'bad', begun=('good',))
    table.take_trial('bad', 0)
    _crash(table, 9, 'third')
    again = quarantine.Quarantine()
    again.load(json.loads(json.dumps(table.dump())))
    assert again.dump() == table.dump()
    assert again.trial_count('bad') == 1


@pytest.mark.parametrize('seed', range(20))
def test_a_request_among_a_full_runner_is_found(seed):
    """Twelve at each runner; those that lose their runner move on."""
    rng = random.Random(seed)
    table = quarantine.Quarantine()
    moved = []
    for number in range(8):
        others = [*moved, *(f'q{number}-{one}' for one in range(11))][:11]
        silent = {one for one in others if rng.random() < 0.25}
        _crash(table, number, 'bad', *silent, begun=set(others) - silent)
        if 'bad' in table:
            break
        moved = rng.sample(others, 4)
    assert 'bad' in table
    assert number == 2
    for one in set(table.requests) - {'bad'}:
        # None that was served on the way is kept for good.
        assert table.take_trial(one, 0) is Trial.GRANTED


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
def test_a_request_that_never_answers_is_quarantined_by_its_third(events):
    """Whoever else was there, and whatever they are cleared of."""
    table = quarantine.Quarantine()
    crashes = set()
    for number, other, cleared in events:
        if cleared:
            table.clear(other)
            continue
        _crash(table, number, 'bad', other)
        crashes.add(number)
        explained = any(one in table for one in 'abcd')
        assert 'bad' in table or len(crashes) < 3 or explained
    for other in 'abcd':
        table.clear(other)
    assert ('bad' in table) == (len(crashes) >= 3)
