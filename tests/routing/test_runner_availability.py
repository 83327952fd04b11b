"""When a host may send to a runner, by what the runner's answers said."""

import dataclasses
import math

import hypothesis
from hypothesis import strategies as st

from limpetroute.routing import runner_availability
from tests.routing import builders

STEPS = st.lists(
    st.tuples(
        st.sampled_from(['backoff', 'leaving', 'restart', 'wait']),
        st.sampled_from(['r0', 'r1']),
        st.floats(0, 5),
    ),
    max_size=30,
)


# Guards against a backoff that a shorter one ends, that ends too late, or
# that holds for another runner, and against a departure that is forgotten.
@hypothesis.given(steps=STEPS)
def test_a_runner_accepts_requests_outside_its_backoffs_until_it_leaves(
    steps,
):
    availability = runner_availability.RunnerAvailability()
    runners = {
        name: builders.make_runner(name, started_ms=1) for name in ('r0', 'r1')
    }
    until_s = dict.fromkeys(runners, -math.inf)
    leaving = set()
    now_s = 0.0
    for step, name, seconds in steps:
        if step == 'backoff':
            availability.note_backoff(name, now_s + seconds)
            until_s[name] = max(until_s[name], now_s + seconds)
        elif step == 'leaving':
            is_new = availability.note_leaving(runners[name].incarnation)
            assert is_new == (name not in leaving)
            leaving.add(name)
        elif step == 'restart':
            runners[name] = dataclasses.replace(
                runners[name], started_ms=runners[name].started_ms + 1
            )
            leaving.discard(name)
        else:
            now_s += seconds
        accepted = {
            one.runner_id
            for one in availability.accepting(runners.values(), now_s)
        }
        assert accepted == {
            one
            for one in runners
            if until_s[one] <= now_s and one not in leaving
        }
        first_s = availability.first_backoff_end_s(runners.values(), now_s)
        waits_s = [
            until_s[one] - now_s for one in runners if one not in leaving
        ]
        expected_s = min((one for one in waits_s if one > 0), default=0.0)
        assert math.isclose(first_s, expected_s, abs_tol=1e-9)


# Guards against memory that grows with each runner that was ever seen.
def test_the_record_is_bounded():
    availability = runner_availability.RunnerAvailability()
    for number in range(runner_availability.MAX_ENTRIES + 10):
        runner = builders.make_runner(f'r{number}')
        availability.note_backoff(runner.runner_id, 9.0)
        availability.note_leaving(runner.incarnation)
    assert availability.accepts(builders.make_runner('r0'), 0.0)
    assert not availability.accepts(runner, 0.0)
