import hypothesis
from hypothesis import strategies as st
import pytest

from limpetroute.decisions import admission
from limpetroute.decisions import ejection
from limpetroute.decisions import fair_queue
from limpetroute.decisions import fleet as fleet_module
from limpetroute.decisions import prefix_index
from limpetroute.decisions import retry_budget
from limpetroute.decisions import retry_promises
from limpetroute.decisions import runner_facts
from limpetroute.decisions import smoothed
from limpetroute.decisions import transfer_budget


def queued(number, team='a', cost_s=1.0, long=False, due_s=10.0):
    return fair_queue.Queued(
        work_id=f'w{number}',
        team=team,
        cost_s=cost_s,
        due_s=due_s,
        long=long,
    )


def take_all(queue):
    order = []
    while len(queue):
        head = queue.heads()[0]
        queue.take(head)
        order.append(head)
    return order


def decode(runner_id, **kwargs):
    return runner_facts.RunnerFacts(
        runner_id=runner_id,
        incarnation=1,
        role=runner_facts.Role.DECODE,
        zone='z',
        models=frozenset({'m'}),
        slots=20,
        kv_capacity_bytes=1000,
        kv_bytes_per_token=1,
        **kwargs,
    )


@hypothesis.given(
    st.lists(st.tuples(st.sampled_from('abc'), st.booleans()), max_size=30)
)
def test_requests_of_a_team_and_lane_keep_their_order(requests):
    queue = fair_queue.FairQueue(shares={})
    for number, (team, long) in enumerate(requests):
        queue.add(queued(number, team=team, long=long))
    order = take_all(queue)
    assert len(order) == len(requests)
    for key in {(item.team, item.long) for item in order}:
        numbers = [
            int(item.work_id[1:])
            for item in order
            if (item.team, item.long) == key
        ]
        assert numbers == sorted(numbers)
    assert queue.backlog_s == 0


@hypothesis.given(
    st.lists(
        st.tuples(st.integers(0, 9), st.sampled_from('abc'), st.booleans()),
        max_size=60,
    )
)
def test_backlog_is_what_is_queued(steps):
    queue = fair_queue.FairQueue(shares={})
    held = {}
    for number, team, long in steps:
        work_id = f'w{number}'
        if work_id in held:
            assert queue.discard(work_id) is held.pop(work_id)
            continue
        held[work_id] = queued(number, team=team, long=long)
        queue.add(held[work_id])
    assert len(queue) == len(held)
    assert queue.backlog_s == pytest.approx(len(held))
    assert {item.work_id for item in take_all(queue)} == set(held)


def test_light_team_does_not_wait_for_a_heavy_team():
    # One team sends fifty requests, then another team sends one. Without
    # fair queueing the last request would wait for all fifty.
    queue = fair_queue.FairQueue(shares={})
    for number in range(50):
        queue.add(queued(number, team='heavy'))
    queue.add(queued(50, team='light'))
    teams = [item.team for item in take_all(queue)]
    assert teams.index('light') <= 1


def test_served_requests_follow_the_shares():
    queue = fair_queue.FairQueue(shares={'a': 3.0, 'b': 1.0})
    for number in range(80):
        queue.add(queued(number, team='ab'[number % 2]))
    first = [item.team for item in take_all(queue)[:40]]
    assert first.count('a') == pytest.approx(30, abs=2)


def test_long_work_is_not_starved_by_short():
    queue = fair_queue.FairQueue(shares={})
    queue.add(queued(0, cost_s=5.0, long=True))
    for number in range(1, 30):
        queue.add(queued(number, team=f't{number}'))
    place = [item.long for item in take_all(queue)].index(True)
    assert 1 <= place <= 10


def test_number_of_stored_idle_teams_is_bounded():
    queue = fair_queue.FairQueue(shares={})
    for number in range(13000):
        queue.add(queued(number, team=f't{number}'))
        queue.take(queue.heads()[0])
    assert queue.teams < 1000


def test_newest_request_of_the_team_with_most_queued_is_returned():
    queue = fair_queue.FairQueue(shares={})
    for number in range(6):
        queue.add(queued(number, team='heavy' if number < 4 else 'light'))
    assert queue.newest_of_heaviest_team().work_id == 'w3'
    for number in (0, 1, 2, 3):
        queue.discard(f'w{number}')
    assert queue.newest_of_heaviest_team().team == 'light'


@hypothesis.given(st.lists(st.booleans(), max_size=400))
def test_retry_budget_is_a_share_of_new_requests(steps):
    budget = retry_budget.RetryBudget()
    fresh = retries = 0
    for is_fresh in steps:
        if is_fresh:
            fresh += 1
            budget.earn()
            continue
        retries += budget.spend(1)
        assert budget.tokens >= 0
    most = retry_budget.MAX_TOKENS + retry_budget.RETRY_SHARE * fresh
    assert retries <= most


@hypothesis.given(
    st.lists(
        st.tuples(st.integers(0, 4), st.integers(0, 2), st.integers(1, 99)),
        max_size=60,
    )
)
def test_transfer_bytes_are_never_negative(steps):
    budget = transfer_budget.TransferBudget()
    in_flight = {}
    for number, (name, step, size) in enumerate(steps):
        work_id = f'w{name}'
        if step == 0:
            budget.start(work_id, ('a', 'b'), size, float(number))
            in_flight[work_id] = size
        elif step == 1:
            budget.complete(work_id, float(number))
            in_flight.pop(work_id, None)
        else:
            budget.abandon(work_id)
            in_flight.pop(work_id, None)
        assert budget.in_flight_bytes == sum(in_flight.values())


def test_stalled_transfer_times_out_before_its_result_expires():
    budget = transfer_budget.TransferBudget()
    link = ('a', 'b')
    predicted_s = 0.3
    size = int(predicted_s * transfer_budget.PRIOR_BYTES_PER_S)
    assert budget.timeout_s(link, size, 0.7) == pytest.approx(0.7)
    # A transfer that cannot end by then keeps its full timeout.
    assert budget.timeout_s(link, 4 * size, 0.7) > 4 * predicted_s


def test_retry_promises_are_spaced_and_redeemed_once():
    # Ten callers are rejected at once. If all were promised the same
    # second, they would all be rejected again, so each gets its own time.
    promises = retry_promises.RetryPromises()
    waits = [
        promises.promise(
            team='a',
            key=f'k{n}',
            cost_s=0.2,
            drain_rate=1.0,
            min_wait_s=0,
            now_s=0,
        )
        for n in range(10)
    ]
    gaps = [
        after - before for before, after in zip(waits, waits[1:], strict=False)
    ]
    assert min(gaps) >= 0.2
    assert promises.redeem(
        team='a', key='k3', returning=False, over_share=False, now_s=waits[3]
    )
    assert not promises.redeem(
        team='a', key='k3', returning=False, over_share=False, now_s=waits[3]
    )
    assert not promises.redeem(
        team='a',
        key='fresh',
        returning=False,
        over_share=False,
        now_s=waits[3],
    )
    promises.advance(1000.0)
    assert len(promises) == 0
    assert promises.due_cost_s == 0


def test_margin_converges_to_the_target_share_of_misses():
    margin = admission.Margin()
    for number in range(5000):
        margin.record_outcome(
            missed=margin.value_s(1.0) < 0.3 and number % 2 == 0
        )
    assert margin.value_s(1.0) == pytest.approx(0.31, abs=0.05)


def test_unreachable_target_is_not_always_rejected():
    # The prompt takes 1.5 s to prefill; the target is 1 s.
    limit_s = admission.limit_s(
        arrived_s=0.0, first_token_by_s=1.0, idle_first_token_s=1.5
    )
    assert limit_s > 1.5


def eject(values):
    fleet = fleet_module.Fleet()
    ejections = ejection.Ejection()
    estimates = {}
    for name, value in values.items():
        fleet.add(decode(name))
        estimates[name] = smoothed.Smoothed(prior=0.0, weight=1.0)
        for _ in range(ejection.MIN_SAMPLES):
            estimates[name].add(value)
    for name in values:
        ejections.evaluate(
            fleet=fleet,
            state=fleet.runners[name],
            estimates=estimates,
            now_s=0.0,
        )
    return ejections, fleet


def test_slow_runner_is_ejected_and_readmitted():
    ejections, fleet = eject({'a': 0.02, 'b': 0.02, 'c': 0.1, 'd': 0.02})
    assert ejections.ejected == {'c'}
    assert ejections.readmit(fleet, ejection.EJECTION_S) == ['c']
    assert fleet.runners['c'].usable


def test_only_a_share_of_a_pool_is_ejected_at_a_time():
    values = {f'r{n}': 0.1 if n < 4 else 0.02 for n in range(9)}
    ejections, _ = eject(values)
    assert 1 <= len(ejections.ejected) <= 2


def test_no_runner_of_a_slow_pool_is_ejected():
    ejections, _ = eject({'a': 0.1, 'b': 0.11, 'c': 0.12})
    assert not ejections.ejected


def test_expected_cached_tokens_decay_with_age():
    index = prefix_index.PrefixIndex()
    index.add('p', range(10), 0.0)
    fresh = index.expected_tokens('p', tuple(range(20)), 0.0)
    old = index.expected_tokens(
        'p', tuple(range(20)), prefix_index.HALF_LIFE_S
    )
    assert fresh == 10 * prefix_index.BLOCK_TOKENS
    assert old == pytest.approx(fresh / 2)
    index.remove('p', range(5, 10))
    assert index.expected_tokens('p', tuple(range(20)), 0.0) == fresh / 2
    index.remove_runner('p')
    assert index.holders(tuple(range(20))) == []


@hypothesis.given(st.lists(st.integers(0, 25), max_size=60))
def test_fleet_orders_by_free_slots(steps):
    fleet = fleet_module.Fleet()
    for name in 'abcd':
        fleet.add(decode(name))
    for number, pick in enumerate(steps):
        state = fleet.runners['abcd'[pick % 4]]
        if f'w{pick}' in state.reservations:
            state.release(f'w{pick}')
        else:
            state.reserve(f'w{pick}', number)
            with pytest.raises(ValueError, match='has a reservation on'):
                state.reserve(f'w{pick}', number)
        fleet.reorder(state)
    free = [
        state.free_slots
        for state in fleet.least_loaded(runner_facts.Role.DECODE, 'm', 4)
    ]
    assert free == sorted(free, reverse=True)
    assert len(free) == 4
