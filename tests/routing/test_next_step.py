"""Retry decisions, checked against an oracle that counts runs.

A wrong decision would run a request twice, or tell the caller that a
request did not run although it did. The simulated runner decides whether
the request ran in each send; the code under test sees only the result.
"""

import hypothesis
from hypothesis import strategies as st
import pytest

from limpetroute.routing import next_step
from limpetroute.routing import send_result

Result = send_result.SendResult
# Whether the request may have run, for each result that a router sees.
MAY_HAVE_RUN = {
    Result.NOT_SENT: (False,),
    Result.WITHHELD: (False,),
    Result.REFUSED: (False,),
    Result.SHED: (False,),
    Result.MISDIRECTED: (False,),
    Result.FAILED: (True,),
    Result.BROKEN: (True, False),
    Result.TIMED_OUT: (True, False),
    Result.ANSWERED: (True,),
}


@hypothesis.given(
    repeatable=st.booleans(),
    max_sends=st.integers(1, 3),
    sends=st.lists(
        st.tuples(st.sampled_from(Result), st.booleans()),
        min_size=1,
        max_size=6,
    ),
    remaining_s=st.floats(0, 10),
)
def test_never_runs_twice_and_never_lies(
    repeatable, max_sends, sends, remaining_s
):
    runs = 0
    ran_before = False
    reached = 0
    for result, choice in sends:
        outcomes = MAY_HAVE_RUN[result]
        runs += outcomes[choice % len(outcomes)]
        reached += result not in (Result.NOT_SENT, Result.WITHHELD)
        context = next_step.RetryContext(
            repeatable=repeatable,
            result=result,
            ran_before=ran_before,
            sends=reached,
            max_sends=max_sends,
            remaining_s=remaining_s,
        )
        step = next_step.next_step(context)
        ran_before = ran_before or not result.is_known_not_run
        assert reached <= max_sends
        if not repeatable:
            assert runs <= 1
        for ending in (step, next_step.without_retry(context)):
            if ending is next_step.Step.REFUSE:
                assert not runs
        if step is not next_step.Step.RETRY:
            return
        if not repeatable:
            assert not ran_before


@pytest.mark.parametrize(
    ('result', 'repeatable', 'step'),
    [
        (Result.ANSWERED, False, next_step.Step.RELAY),
        (Result.REFUSED, False, next_step.Step.RETRY),
        (Result.BROKEN, False, next_step.Step.FAIL),
        (Result.BROKEN, True, next_step.Step.RETRY),
        (Result.FAILED, False, next_step.Step.RELAY),
        (Result.FAILED, True, next_step.Step.RETRY),
        (Result.TIMED_OUT, False, next_step.Step.EXPIRE),
    ],
)
def test_step_for_each_result(result, repeatable, step):
    context = next_step.RetryContext(
        repeatable=repeatable,
        result=result,
        ran_before=False,
        sends=1,
        max_sends=2,
        remaining_s=1.0,
    )
    assert next_step.next_step(context) is step
