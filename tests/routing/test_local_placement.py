import random

from limpetroute.routing import local_placement
from limpetroute.routing import runner_load
from tests.routing import builders


def test_a_host_alone_has_no_long_prompt_read_by_a_writer():
    """The leader and the last reader are gone in the same second.

    Each of seven entry hosts sees its own streams only. One of them sends
    8,400 tokens to the writer that is left, and the eleven streams there
    stand still for 352 ms: a stranger's prompt costs nine good answers.
    """
    long = builders.make_request('long', prompt_tokens=8400)
    short = builders.make_request('short', prompt_tokens=2000)
    may = local_placement.may_self_prefill_locally
    assert not may(long, entry_hosts=7)
    assert may(short, entry_hosts=7)


def test_the_only_host_knows_what_its_writer_has_to_do():
    long = builders.make_request('long', prompt_tokens=8400)
    assert local_placement.may_self_prefill_locally(long, entry_hosts=1)


def test_what_was_written_before_is_read_too():
    begun = builders.make_request(
        'begun', prompt_tokens=3000, written_tokens=4000, goes_on=True
    )
    assert not local_placement.may_self_prefill_locally(begun, entry_hosts=7)


def choose(load, now_s):
    return local_placement.choose_decode(
        [builders.make_runner('d')],
        engine=builders.ENGINE,
        loads={'d': load},
        tokens=5000,
        share=0.2,
        tried=(),
        now_s=now_s,
        rng=random.Random(0),
    )


# Guards against streams that hosts without a leader send to a runner which
# they were told to be full a moment before.
def test_a_runner_that_was_full_a_moment_ago_is_left_alone():
    load = runner_load.RunnerLoad()
    load.note_fleet_streams(builders.ENGINE.slots, 10.0)
    assert choose(load, 11.0) is None
    assert choose(load, 20.0) is not None
    load.note_fleet_streams(builders.ENGINE.slots - 1, 20.0)
    assert choose(load, 20.0) is not None
