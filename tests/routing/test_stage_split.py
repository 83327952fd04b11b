"""How many runners read prompts.

A fleet that starts with two readers of three refuses a third of its
streams on a calm day; with none, prompts are read between the tokens of
others and every stream pauses.
"""

import pytest

from limpetroute.routing import stage_split
from tests.routing import builders


@pytest.mark.parametrize(
    ('runners', 'readers'),
    [(0, 0), (1, 0), (2, 1), (3, 1), (4, 1), (6, 1), (11, 2), (24, 4)],
)
def test_wanted_readers(runners, readers):
    assert stage_split.wanted_prefill(runners) == readers


def test_one_reader_too_many_becomes_a_writer():
    runners = [
        builders.make_runner('a', builders.PREFILL),
        builders.make_runner('b', builders.PREFILL),
        builders.make_runner('c'),
    ]
    change = stage_split.next_change(runners, changing=())
    assert change.runner_id == 'b'
    assert change.stage is builders.DECODE


def test_the_last_runner_of_all_writes():
    runners = [builders.make_runner('a', builders.PREFILL)]
    change = stage_split.next_change(runners, changing=())
    assert change.stage is builders.DECODE


def test_a_reader_is_made_where_there_is_none():
    runners = [builders.make_runner(name) for name in 'abc']
    change = stage_split.next_change(runners, changing=())
    assert change.stage is builders.PREFILL


def test_a_reader_that_leaves_does_not_count():
    runners = [
        builders.make_runner('a', builders.PREFILL, ready=False),
        builders.make_runner('b'),
        builders.make_runner('c'),
    ]
    change = stage_split.next_change(runners, changing=())
    assert change.stage is builders.PREFILL


def test_one_change_at_a_time():
    runners = [builders.make_runner(name) for name in 'abc']
    assert stage_split.next_change(runners, changing=['b']) is None


@pytest.mark.parametrize('count', range(1, 30))
def test_changes_come_to_rest(count):
    """Orders that undo each other would keep runners away for ever."""
    stages = {f'r{n:02}': builders.PREFILL for n in range(count)}
    for _ in range(count + 1):
        runners = [
            builders.make_runner(name, stage) for name, stage in stages.items()
        ]
        change = stage_split.next_change(runners, changing=())
        if change is None:
            break
        stages[change.runner_id] = change.stage
    else:
        raise AssertionError('never comes to rest')
