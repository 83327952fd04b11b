"""What is known of reserved slots, runner by runner."""

import random

import pytest

from limpetroute.routing import placement
from limpetroute.routing import reservations
from tests.routing import builders


def make_place(name, decode_id, prefill_id='p'):
    return placement.Placement(
        request_id=name, decode_id=decode_id, prefill_id=prefill_id
    )


def test_what_is_kept_by_runner_agrees_with_what_is_reserved():
    """A count that is off fills a runner, or keeps it empty, for good."""
    rng = random.Random(4)
    reserved = reservations.Reservations(engine=builders.ENGINE)
    here = {}
    for step in range(2000):
        now_s = step * 0.01
        action = rng.random()
        if action < 0.55:
            name = f's{rng.randrange(400)}'
            placed = make_place(name, f'd{rng.randrange(6)}')
            request = builders.make_request(
                name, patience_s=rng.uniform(0.5, 9.0)
            )
            reserved.add(placed, request, sent_s=now_s, begins_s=now_s)
            here[name] = (placed, now_s + request.patience_s + 1.0)
        elif action < 0.95 and here:
            name = rng.choice(sorted(here))
            reserved.drop(name)
            del here[name]
        elif action < 0.96:
            gone = f'd{rng.randrange(6)}'
            reserved.reset_runner(gone)
            here = {
                name: held
                for name, held in here.items()
                if held[0].decode_id != gone
            }
        reserved.expire(now_s)
        here = {name: held for name, held in here.items() if held[1] >= now_s}
        assert len(reserved) == len(here)
        ends_s = reserved.next_ends_s(1000, now_s)
        assert len(ends_s) == len(here)
        assert all(end_s >= now_s for end_s in ends_s)
        assert ends_s == sorted(ends_s)
        for n in range(6):
            count = sum(held[0].decode_id == f'd{n}' for held in here.values())
            assert reserved.stream_count(f'd{n}') == count
            profile = reserved.profile(f'd{n}', now_s)
            assert len(profile.ends_s) == count
        assert reserved.uses('p') == len(here)


def test_runners_that_a_stream_left_are_told_once():
    reserved = reservations.Reservations(engine=builders.ENGINE)
    request = builders.make_request('s')
    reserved.add(make_place('s', 'd1'), request, sent_s=0.0, begins_s=0.0)
    assert reserved.take_changed() == {'d1'}
    assert reserved.take_freed() == set()
    reserved.drop('s')
    assert reserved.take_freed() == {'d1'}
    assert reserved.take_freed() == set()


# Guards against pauses that are planned by the pace of faster runners.
def test_a_slower_runner_is_found_by_its_own_streams():
    held = reservations.Reservations(engine=builders.ENGINE)
    usual_s = held.event_s
    for n in range(12):
        request = builders.make_request(f's{n}')
        placed = placement.Placement(
            request_id=request.request_id, decode_id='slow', prefill_id=''
        )
        held.add(placed, request, sent_s=0.0, begins_s=0.2)
        tokens = 40 * builders.ENGINE.tokens_per_event
        held.release(
            placement.Release(
                request_id=request.request_id,
                output_tokens=tokens,
                decode_s=40 * 2 * usual_s,
                whole=True,
            )
        )
    assert held.event_s_at('slow') == pytest.approx(2 * usual_s)
    assert held.event_s_at('other') == held.event_s < 1.5 * usual_s
