from limpetroute.decisions import action
from limpetroute.decisions import full_policy
from limpetroute.decisions import policy_config
from limpetroute.decisions import runner_facts
from limpetroute.decisions import stage
from limpetroute.decisions import work

MODEL = 'note'


def _runner(policy, name, role, slots=1):
    policy.on_runner(
        runner_facts.RunnerFacts(
            runner_id=name,
            incarnation=1,
            role=runner_facts.Role(role),
            zone='augsburg',
            models=frozenset({MODEL}),
            slots=slots,
            kv_capacity_bytes=1 << 30,
            kv_bytes_per_token=1000,
        ),
        0.0,
    )


def _offer(policy, name):
    policy.offer(
        work.Work(
            work_id=name,
            team='club',
            model=MODEL,
            prompt_tokens=400,
            max_tokens=100,
            arrived_s=0.0,
            first_token_by_s=20.0,
            token_gap_s=1.0,
        ),
        0.0,
    )
    return policy.actions(0.0)


def _to_decode(policy, name, now_s):
    policy.on_prefill_done(name, 0, now_s)
    (got,) = policy.actions(now_s)
    assert isinstance(got, action.StartDecode)
    return got.runner_id


def test_prompt_is_not_read_again_for_a_runner_it_may_not_use():
    """A secretary's note breaks off at its decode runner.

    The runner is free again, but the request may not go back to it, and
    the other one is full. A prefill started now would be thrown away:
    it must wait until the other runner has room.
    """
    policy = full_policy.FullPolicy(
        config=policy_config.PolicyConfig(
            objective=policy_config.Objective.WASTED_PREFILL
        )
    )
    for number in range(3):
        _runner(policy, f'p{number}', 'prefill')
    for number in range(2):
        _runner(policy, f'd{number}', 'decode')
    _offer(policy, 'a')
    broken = _to_decode(policy, 'a', 0.1)
    _offer(policy, 'b')
    other = _to_decode(policy, 'b', 0.2)
    assert broken != other
    policy.on_failed('a', stage.Stage.DECODE, broken, 0.3)
    assert policy.actions(0.3) == []
    policy.on_tokens('b', 100, 0.5)
    policy.on_end('b', stage.Ending.COMPLETED, 0.6)
    (got,) = policy.actions(0.6)
    assert isinstance(got, action.StartPrefill)
    assert (got.work_id, got.decode_runner_id) == ('a', other)
