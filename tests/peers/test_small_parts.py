import pytest

from limpetroute.peers import lease_codec
from limpetroute.peers import lease_message
from limpetroute.peers import reaper
from limpetroute.peers import request_budget
from limpetroute.peers import zone_cost


def _check(finder, now_s, *, claimed=(), unsure=False, runs=('x',), start=1):
    return finder.check(
        runner_id='r',
        incarnation=start,
        runs=runs,
        claimed=claimed,
        unsure=unsure,
        now_s=now_s,
    )


def test_run_without_a_record_is_ended_after_the_grace_time():
    """All entry hosts with a record of a request are lost.

    Without the reaper, the run continues without a caller and keeps its
    slot.
    """
    finder = reaper.Reaper(grace_s=5)
    assert _check(finder, 0) == []
    assert _check(finder, 4.9) == []
    assert _check(finder, 5.0) == ['x']


def test_slow_request_with_occasional_claims_is_left_alone():
    finder = reaper.Reaper(grace_s=5)
    for step in range(20):
        assert (
            _check(finder, 4.0 * step, claimed={'x'} if step % 2 else ()) == []
        )


def test_run_being_taken_over_is_left_alone():
    """The host of the run is suspect, so no live host claims the run yet."""
    finder = reaper.Reaper(grace_s=5)
    _check(finder, 0)
    assert _check(finder, 6, unsure=True) == []
    assert _check(finder, 7) == []
    assert _check(finder, 13) == ['x']


def test_restarted_runner_restarts_the_grace_time():
    finder = reaper.Reaper(grace_s=5)
    _check(finder, 0)
    assert _check(finder, 6, start=2) == []
    assert _check(finder, 11, start=2) == ['x']


def test_ended_run_is_dropped():
    finder = reaper.Reaper(grace_s=5)
    _check(finder, 0)
    _check(finder, 1, runs=())
    assert _check(finder, 6) == []


def test_budget_shrinks_over_two_hosts_and_never_grows():
    most = request_budget.RequestBudget(until_s=110.0, attempts_left=3)
    first = most.after_try()
    headers = first.headers(104.0)
    got = request_budget.RequestBudget.from_headers(
        headers,
        now_s=900.0,
        most=request_budget.RequestBudget(until_s=990.0, attempts_left=3),
    )
    assert got.attempts_left == 2
    assert got.remaining_s(900.0) == 6.0
    excessive = {
        request_budget.DEADLINE_HEADER: '999999999',
        request_budget.ATTEMPTS_HEADER: '99',
    }
    got = request_budget.RequestBudget.from_headers(
        excessive, now_s=100.0, most=most
    )
    assert got == most


def test_budget_without_tries_or_time_allows_none():
    none_left = request_budget.RequestBudget(until_s=10.0, attempts_left=0)
    assert not none_left.may_try(0.0)
    with pytest.raises(ValueError, match='0'):
        none_left.after_try()
    late = request_budget.RequestBudget(until_s=10.0, attempts_left=1)
    assert late.may_try(9.9)
    assert not late.may_try(10.0)


FEDERATION = zone_cost.ZoneCosts(
    round_trips_ms={
        ('evere', 'anderlecht'): 0.4,
        ('evere', 'zaventem'): 0.5,
        ('anderlecht', 'zaventem'): 0.6,
    }
)
KLEINGARTEN = zone_cost.ZoneCosts(
    round_trips_ms={
        ('munich-1', 'munich-2'): 1.0,
        ('munich-1', 'augsburg'): 4.0,
        ('munich-1', 'ingolstadt'): 5.0,
    }
)


def test_copy_goes_to_the_nearest_other_zone():
    hosts = [('e2', 'evere'), ('z1', 'zaventem'), ('a1', 'anderlecht')]
    assert zone_cost.rank_successors(
        zone='evere', hosts=hosts, costs=FEDERATION
    ) == ['a1', 'z1', 'e2']
    hosts = [
        ('m2', 'munich-1'),
        ('i1', 'ingolstadt'),
        ('a1', 'augsburg'),
        ('n1', 'munich-2'),
    ]
    assert zone_cost.rank_successors(
        zone='munich-1', hosts=hosts, costs=KLEINGARTEN
    ) == ['n1', 'a1', 'i1', 'm2']


def test_unknown_zone_counts_as_far_away():
    hosts = [('x', 'elsewhere'), ('a1', 'anderlecht')]
    assert zone_cost.rank_successors(
        zone='evere', hosts=hosts, costs=FEDERATION
    ) == ['a1', 'x']


def test_lease_codec_keeps_every_field():
    request = lease_message.LeaseRequest(
        number=3,
        holder_id='a',
        wants=(
            lease_message.LeaseWant(resource='r', fence=4, successor='4.0:b'),
        ),
        releases=(
            lease_message.LeaseRelease(
                resource='s', fence=5, successor_id='c'
            ),
        ),
    )
    assert lease_codec.decode_ask(lease_codec.encode_ask(request)) == request
    vote = lease_message.LeaseVote(
        number=3,
        voter_id='v',
        answers=(
            lease_message.LeaseAnswer(
                resource='r',
                fence=4,
                granted=True,
                highest_fence=2,
                holder_id='a',
                successor='4.1:x',
            ),
        ),
    )
    assert lease_codec.decode_vote(lease_codec.encode_vote(vote)) == vote


@pytest.mark.parametrize('data', [b'', b'{}', b'[1,2]', b'[1,"a",[1],[]]'])
def test_lease_codec_quotes_malformed_data(data):
    with pytest.raises(ValueError, match='not a lease message'):
        lease_codec.decode_ask(data)
