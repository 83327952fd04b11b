"""Streams of hosts that must not use some of the runners for now."""

import dataclasses

import pytest

from limpetroute.routing import placement
from limpetroute.routing import placement_hints
from limpetroute.routing import runner_incarnation
from limpetroute.routing import stream_scheduler
from tests.routing import builders

PREFILL = builders.PREFILL


def make_scheduler():
    return stream_scheduler.StreamScheduler(engine=builders.ENGINE)


def fleet(*decode_ids, prefill_ids=('p',)):
    return [
        *(builders.make_runner(one, PREFILL) for one in prefill_ids),
        *(builders.make_runner(one) for one in decode_ids),
    ]


def request(name, now_s=0.0, *, backoffs=None, leaving=(), **fields):
    """Return a request as the leader gets it from its host."""
    hints = placement_hints.PlacementHints(
        backoffs_s=backoffs or {},
        leaving=tuple(
            runner_incarnation.RunnerIncarnation(runner_id=one, started_ms=0)
            for one in leaving
        ),
        shedding=fields.pop('shedding', ()),
        is_prefilled=fields.pop('is_prefilled', False),
    )
    avoid = (*fields.pop('tried', ()), *hints.unavailable)
    return hints.apply(
        builders.make_request(name, avoid=avoid, **fields), now_s
    )


def decide(scheduler, runners, *, until_s, from_s=0.0):
    """Return the first answer to each stream, and when it came."""
    answers = {}
    now_s = from_s
    while now_s < until_s:
        for one in scheduler.decide(runners, now_s):
            answers.setdefault(one.request_id, (now_s, one))
        now_s = round(now_s + 0.05, 3)
    return answers


def test_a_stream_goes_to_a_runner_that_its_host_may_use():
    scheduler = make_scheduler()
    for number in range(6):
        scheduler.submit(request(f's{number}', backoffs={'d0': 3.0}), 0.0)
    answers = decide(scheduler, fleet('d0', 'd1'), until_s=0.5)
    assert {one.decode_id for _, one in answers.values()} == {'d1'}


def test_other_hosts_still_use_a_runner_that_asked_one_to_back_off():
    scheduler = make_scheduler()
    scheduler.submit(request('backs-off', backoffs={'d0': 30.0}), 0.0)
    scheduler.submit(request('other'), 0.0)
    answers = decide(scheduler, fleet('d0'), until_s=0.5)
    assert answers['other'][1].decode_id == 'd0'
    assert isinstance(answers['backs-off'][1], placement.Rejection)


# Guards against a runner that gets most streams of the other hosts because
# the hosts that back off leave its memory free.
def test_a_runner_that_asked_for_a_backoff_is_chosen_last():
    scheduler = make_scheduler()
    runners = fleet('d0', 'd1', prefill_ids=[f'p{n}' for n in range(20)])
    scheduler.submit(request('s', backoffs={'d0': 3.0}), 0.0)
    for number in range(6):
        scheduler.submit(request(f's{number}'), 0.0)
    answers = decide(scheduler, runners, until_s=0.5)
    assert {one.decode_id for _, one in answers.values()} == {'d1'}
    for number in range(12):
        scheduler.submit(request(f't{number}', 1.0), 1.0)
    answers = decide(scheduler, runners, from_s=1.0, until_s=1.5)
    assert {one.decode_id for _, one in answers.values()} == {'d0', 'd1'}


def test_a_stream_waits_for_a_backoff_that_ends_within_its_target():
    scheduler = make_scheduler()
    scheduler.submit(request('s', backoffs={'d0': 0.4}), 0.0)
    at_s, placed = decide(scheduler, fleet('d0'), until_s=2.0)['s']
    assert placed.decode_id == 'd0'
    assert 0.4 <= at_s < 0.5


# Guards against callers that wait for a runner which their host must not
# use, and are told to return to all hosts only after its backoff.
def test_a_stream_is_rejected_at_once_if_the_backoff_outlasts_it():
    scheduler = make_scheduler()
    scheduler.submit(request('s', backoffs={'d0': 10.0, 'd1': 9.0}), 0.0)
    at_s, rejected = decide(scheduler, fleet('d0', 'd1'), until_s=2.0)['s']
    assert at_s == 0.0
    assert isinstance(rejected, placement.Rejection)
    assert rejected.retry_after_s <= 0.3


# Guards against a retry time of no use: other hosts have no slot either.
def test_a_rejected_caller_is_told_when_another_host_has_a_slot():
    scheduler = make_scheduler()
    for number in range(builders.ENGINE.slots):
        scheduler.submit(
            request(f's{number}', prompt_tokens=500, output_tokens=3000), 0.0
        )
    decide(scheduler, fleet('d0'), until_s=2.0)
    scheduler.submit(request('late', 2.0, backoffs={'d0': 20.0}), 2.0)
    _, rejected = decide(scheduler, fleet('d0'), from_s=2.0, until_s=2.1)[
        'late'
    ]
    assert rejected.retry_after_s > 0.3


# Guards against a queue that stands still for a stream whose host has to
# back off from all runners.
def test_a_stream_whose_host_backs_off_holds_up_no_other():
    scheduler = make_scheduler()
    scheduler.submit(request('first', backoffs={'d0': 0.8}, target_s=2.0), 0.0)
    decide(scheduler, fleet('d0'), until_s=0.5)
    scheduler.submit(request('second', 0.5), 0.5)
    answers = decide(scheduler, fleet('d0'), from_s=0.5, until_s=1.5)
    assert answers['second'][0] == 0.5
    assert answers['first'][0] >= 0.8


def test_a_prompt_goes_to_a_prefill_runner_that_its_host_may_use():
    runners = fleet('d0', 'd1', prefill_ids=('p0', 'p1'))
    scheduler = make_scheduler()
    scheduler.submit(request('s', backoffs={'p0': 3.0}), 0.0)
    scheduler.submit(request('t', backoffs={'p1': 3.0}), 0.0)
    answers = decide(scheduler, runners, until_s=0.5)
    assert answers['s'][1].prefill_id == 'p1'
    assert answers['t'][1].prefill_id == 'p0'


def test_a_decode_runner_prefills_if_no_prefill_runner_may_be_used():
    scheduler = make_scheduler()
    scheduler.submit(request('s', backoffs={'p': 3.0}), 0.0)
    _, placed = decide(scheduler, fleet('d0'), until_s=0.5)['s']
    assert (placed.decode_id, placed.prefill_id) == ('d0', '')


# Guards against a runner that this stream was sent to and that is chosen
# again because its host backs off from others.
def test_a_tried_runner_is_not_chosen_again():
    scheduler = make_scheduler()
    scheduler.submit(request('s', backoffs={'d0': 0.2}, tried=('d1',)), 0.0)
    _, placed = decide(scheduler, fleet('d0', 'd1'), until_s=1.0)['s']
    assert placed.decode_id == 'd0'


def test_a_runner_that_is_leaving_gets_no_stream_of_any_host():
    scheduler = make_scheduler()
    scheduler.submit(request('s', leaving=('d0',)), 0.0)
    scheduler.submit(request('t'), 0.0)
    answers = decide(scheduler, fleet('d0', 'd1'), until_s=0.5)
    assert {one.decode_id for _, one in answers.values()} == {'d1'}


def test_a_runner_that_has_restarted_is_no_longer_leaving():
    scheduler = make_scheduler()
    scheduler.submit(request('s', leaving=('d0',)), 0.0)
    decide(scheduler, fleet('d0', 'd1'), until_s=0.5)
    scheduler.reset_runner('d0')
    restarted = [dataclasses.replace(one, started_ms=9) for one in fleet('d0')]
    scheduler.submit(request('t', 1.0), 1.0)
    _, placed = decide(scheduler, restarted, from_s=1.0, until_s=1.5)['t']
    assert placed.decode_id == 'd0'


# Guards against a second prefill, and against a place that is planned as if
# the decode runner had to prefill the prompt.
def test_a_prefilled_stream_needs_only_a_decode_runner():
    scheduler = make_scheduler()
    for number in range(8):
        scheduler.submit(request(f's{number}', is_prefilled=True), 0.0)
    answers = decide(scheduler, fleet('d0', prefill_ids=()), until_s=0.05)
    placed = [one for _, one in answers.values()]
    assert [one.decode_id for one in placed] == ['d0'] * 8
    assert {one.prefill_id for one in placed} == {''}
    assert max(one.forecast.first_event_s for one in placed) < 0.2
    assert max(one.forecast.pause_s for one in placed) == 0.0


@pytest.mark.parametrize('tokens', [0, 300])
def test_a_prefilled_stream_may_also_resume(tokens):
    scheduler = make_scheduler()
    scheduler.submit(
        request(
            's', is_prefilled=True, goes_on=tokens > 0, written_tokens=tokens
        ),
        0.0,
    )
    _, placed = decide(scheduler, fleet('d0'), until_s=0.5)['s']
    assert (placed.decode_id, placed.prefill_id) == ('d0', '')


# Guards against a KV cache that expires while its stream waits for a full
# runner, although the one that refused it may accept it now.
@pytest.mark.parametrize('others', [0, builders.ENGINE.slots])
def test_a_refused_stream_goes_to_another_runner_or_to_the_same(others):
    scheduler = make_scheduler()
    for number in range(others):
        scheduler.submit(
            request(f'o{number}', tried=('d0',), is_prefilled=True), 0.0
        )
    decide(scheduler, fleet('d0', 'd1'), until_s=0.1)
    scheduler.submit(
        request('s', 0.1, shedding=('d0',), is_prefilled=True), 0.1
    )
    at_s, placed = decide(
        scheduler, fleet('d0', 'd1'), from_s=0.1, until_s=0.5
    )['s']
    assert at_s == 0.1
    assert placed.decode_id == ('d0' if others else 'd1')
