"""How many runners read prompts.

A fleet that starts with two readers of three refuses a third of its
streams on a calm day; with none, prompts are read between the tokens of
others and every stream pauses.
"""

import dataclasses

import pytest

from limpetroute.routing import stage_split
from tests.routing import builders

# Memory for nine streams of the mean size, and twelve places.
SMALL = dataclasses.replace(builders.ENGINE, memory_tokens=78_413)


def next_change(runners, changing=(), engine=builders.ENGINE):
    return stage_split.next_change(runners, engine=engine, changing=changing)


@pytest.mark.parametrize(
    ('runners', 'readers'),
    [(0, 0), (1, 0), (2, 1), (3, 1), (4, 1), (6, 1), (11, 2), (24, 4)],
)
def test_wanted_readers(runners, readers):
    assert stage_split.wanted_prefill(runners, builders.ENGINE) == readers


def test_one_reader_too_many_becomes_a_writer():
    runners = [
        builders.make_runner('a', builders.PREFILL),
        builders.make_runner('b', builders.PREFILL),
        builders.make_runner('c'),
    ]
    change = next_change(runners)
    assert change.runner_id == 'b'
    assert change.stage is builders.DECODE


def test_the_last_runner_of_all_writes():
    runners = [builders.make_runner('a', builders.PREFILL)]
    change = next_change(runners)
    assert change.stage is builders.DECODE


def test_a_reader_is_made_where_there_is_none():
    runners = [builders.make_runner(name) for name in 'abc']
    change = next_change(runners)
    assert change.stage is builders.PREFILL


def test_a_reader_that_leaves_does_not_count():
    runners = [
        builders.make_runner('a', builders.PREFILL, ready=False),
        builders.make_runner('b'),
        builders.make_runner('c'),
    ]
    change = next_change(runners)
    assert change.stage is builders.PREFILL


def test_one_change_at_a_time():
    runners = [builders.make_runner(name) for name in 'abc']
    assert next_change(runners, ['b']) is None


def test_two_runners_with_little_memory_both_write():
    """Two of four runners leave in the middle of a day.

    One of the two that were left read prompts and held no stream, and
    the other had memory for nine: callers were refused for the rest of
    the day, and nothing changed as one reader of two was as wanted.
    """
    left = [
        builders.make_runner('a', builders.PREFILL),
        builders.make_runner('b'),
    ]
    change = next_change(left, engine=SMALL)
    assert (change.runner_id, change.stage) == ('a', builders.DECODE)
    both = [builders.make_runner(name) for name in 'ab']
    assert next_change(both, engine=SMALL) is None
    assert next_change(left) is None


def test_three_runners_with_little_memory_keep_their_reader():
    assert stage_split.wanted_prefill(3, SMALL) == 1


@pytest.mark.parametrize('count', range(1, 30))
def test_changes_come_to_rest(count):
    """Orders that undo each other would keep runners away for ever."""
    stages = {f'r{n:02}': builders.PREFILL for n in range(count)}
    for _ in range(count + 1):
        runners = [
            builders.make_runner(name, stage) for name, stage in stages.items()
        ]
        change = next_change(runners)
        if change is None:
            break
        stages[change.runner_id] = change.stage
    else:
        raise AssertionError('never comes to rest')
