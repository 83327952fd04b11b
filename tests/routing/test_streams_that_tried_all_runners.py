"""Streams that may be sent to none of the runners any more."""

import pytest

from limpetroute.routing import placement
from limpetroute.routing import stream_scheduler
from tests.routing import builders

FLEET = [
    builders.make_runner('p', builders.PREFILL),
    builders.make_runner('d0'),
    builders.make_runner('d1'),
]


def _decide(scheduler, runners, from_s, until_s):
    answers = {}
    now_s = from_s
    while now_s < until_s:
        for one in scheduler.decide(runners, now_s):
            answers[one.request_id] = (now_s, one)
        now_s = round(now_s + 0.05, 3)
    return answers


# Guards against free runners while a stream that cannot use them is first.
@pytest.mark.parametrize('goes_on', [False, True])
def test_a_stream_that_tried_all_runners_holds_up_no_other(goes_on):
    scheduler = stream_scheduler.StreamScheduler(engine=builders.ENGINE)
    for number in range(3):
        request = builders.make_request(
            f'stuck{number}',
            goes_on=goes_on,
            avoid=('d0', 'd1'),
            target_s=0.9,
            silence_s=3.6,
        )
        scheduler.submit(request, 0.0)
    _decide(scheduler, FLEET, 0.0, 0.6)
    for number in range(3):
        scheduler.submit(builders.make_request(f's{number}'), 0.6)
    answers = _decide(scheduler, FLEET, 0.6, 0.9)
    placed = [
        name
        for name, (_, one) in answers.items()
        if isinstance(one, placement.Placement)
    ]
    assert sorted(placed) == ['s0', 's1', 's2']


# Guards against a stream that is given up while a new runner comes.
def test_a_stream_that_tried_all_runners_goes_to_a_new_one():
    scheduler = stream_scheduler.StreamScheduler(engine=builders.ENGINE)
    request = builders.make_request('s', goes_on=True, avoid=('d0', 'd1'))
    scheduler.submit(request, 0.0)
    assert not _decide(scheduler, FLEET, 0.0, 0.5)
    runners = [*FLEET, builders.make_runner('d2')]
    _, placed = _decide(scheduler, runners, 0.5, 0.7)['s']
    assert placed.decode_id == 'd2'
