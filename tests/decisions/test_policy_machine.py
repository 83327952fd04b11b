"""Random events, checked against a model of what runners have reserved."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from limpetroute.decisions import action
from limpetroute.decisions import full_policy
from limpetroute.decisions import policy_config
from limpetroute.decisions import runner_facts
from limpetroute.decisions import runner_state
from limpetroute.decisions import stage
from limpetroute.decisions import work

SLOTS = 3
CAPACITY = 6000
# Half of the guaranteed lifetime of a prefill result.
RESULT_AGE_S = 0.4
RUNNERS = ('p0', 'p1', 'd0', 'd1')


def facts(runner_id, incarnation=1):
    return runner_facts.RunnerFacts(
        runner_id=runner_id,
        incarnation=incarnation,
        role=runner_facts.Role.PREFILL
        if runner_id.startswith('p')
        else runner_facts.Role.DECODE,
        zone='z',
        models=frozenset({'m'}),
        slots=SLOTS,
        kv_capacity_bytes=CAPACITY,
        kv_bytes_per_token=1,
    )


class PolicyMachine(stateful.RuleBasedStateMachine):
    """Checks the policy's actions against a model of the runners.

    No slot or byte may be granted twice, no expired or rejected request
    may start, and at the end nothing may still be reserved.
    """

    def __init__(self):
        super().__init__()
        self.now_s = 0.0
        self.request_count = 0
        self.incarnations = dict.fromkeys(RUNNERS, 1)
        self.alive = set(RUNNERS)
        self.items = {}
        self.phase = {}
        self.reservations = {}
        self.prefilled_s = {}
        self.failures = set()

    @stateful.initialize(objective=st.sampled_from(policy_config.Objective))
    def start(self, objective):
        self.policy = full_policy.FullPolicy(
            config=policy_config.PolicyConfig(objective=objective)
        )
        for runner_id in RUNNERS:
            self.policy.on_runner(facts(runner_id), self.now_s)

    def execute_actions(self):
        for todo in self.policy.actions(self.now_s):
            work_id = todo.work_id
            assert work_id in self.phase, 'action for an ended request'
            if isinstance(todo, action.GiveUp):
                assert todo.retry_after_s > 0
                self.end_request(work_id, stage.Ending.FAILED)
                continue
            if isinstance(todo, action.StartPrefill):
                if self.phase[work_id] == 'prefilled':
                    # A prompt is prefilled again only if no decode
                    # runner had a slot in time or a transfer failed.
                    age_s = self.now_s - self.prefilled_s[work_id]
                    expired = age_s >= RESULT_AGE_S
                    assert expired or work_id in self.failures, (
                        'a usable prefill result was dropped'
                    )
                    self.failures.add(work_id)
                else:
                    assert self.phase[work_id] == 'queued'
                if work_id not in self.failures:
                    due_s = self.items[work_id].first_token_by_s
                    assert self.now_s <= due_s, 'expired request started'
                self.phase[work_id] = 'prefill'
                if todo.decode_runner_id is not None:
                    self.check_reservation(todo.decode_runner_id, todo)
                continue
            assert self.phase[work_id] == 'prefilled'
            self.phase[work_id] = 'transfer'
            self.check_reservation(todo.runner_id, todo)

    def check_reservation(self, runner_id, todo):
        here, _ = self.reservations.get(todo.work_id, (runner_id, 0))
        if here not in self.alive:
            here = runner_id
        assert here == runner_id, 'reservations on two runners'
        self.reservations[todo.work_id] = (runner_id, todo.kv_bytes)
        sizes = [
            size for at, size in self.reservations.values() if at == runner_id
        ]
        assert len(sizes) <= SLOTS, 'a slot granted twice'
        assert sum(sizes) <= CAPACITY, 'bytes granted twice'

    def end_request(self, work_id, how):
        self.reservations.pop(work_id, None)
        del self.phase[work_id]
        self.policy.on_end(work_id, how, self.now_s)
        self.execute_actions()

    def pick_request(self, data, *phases):
        names = [name for name, at in self.phase.items() if at in phases]
        if not names:
            return None
        return data.draw(st.sampled_from(sorted(names)))

    @stateful.rule(
        tokens=st.integers(1, 2500),
        team=st.sampled_from('abc'),
        slack_s=st.sampled_from([0.5, 1.0, 3.0]),
    )
    def offer(self, tokens, team, slack_s):
        self.request_count += 1
        item = work.Work(
            work_id=f'w{self.request_count}',
            team=team,
            model='m',
            prompt_tokens=tokens,
            max_tokens=100,
            arrived_s=self.now_s,
            first_token_by_s=self.now_s + slack_s,
            token_gap_s=0.03,
            key=f'k{self.request_count}',
        )
        self.items[item.work_id] = item
        self.phase[item.work_id] = 'queued'
        self.policy.offer(item, self.now_s)
        self.execute_actions()

    @stateful.rule(count=st.integers(2, 5))
    def long_prompts_at_once(self, count):
        """Submit several long prompts at once and prefill them at once."""
        before = set(self.phase)
        for _ in range(count):
            self.offer(tokens=2400, team='a', slack_s=3.0)
        for work_id in sorted(set(self.phase) - before):
            if self.phase.get(work_id) != 'prefill':
                continue
            self.phase[work_id] = 'prefilled'
            self.prefilled_s[work_id] = self.now_s
            self.policy.on_prefill_done(work_id, 0, self.now_s)
            self.execute_actions()

    @stateful.rule(data=st.data())
    def prefilled(self, data):
        work_id = self.pick_request(data, 'prefill')
        if work_id is not None:
            self.phase[work_id] = 'prefilled'
            self.prefilled_s[work_id] = self.now_s
            self.policy.on_prefill_done(work_id, 0, self.now_s)
            self.execute_actions()

    @stateful.rule(data=st.data())
    def transfer_done(self, data):
        work_id = self.pick_request(data, 'transfer')
        if work_id is not None:
            self.phase[work_id] = 'decode'
            self.policy.on_transfer_done(work_id, self.now_s)
            self.policy.on_tokens(work_id, 1, self.now_s)
            self.failures.add(work_id)
            self.execute_actions()

    @stateful.rule(data=st.data(), how=st.sampled_from(stage.Ending))
    def end(self, data, how):
        phases = ('queued', 'prefill', 'prefilled', 'transfer', 'decode')
        if how is stage.Ending.COMPLETED:
            phases = ('decode',)
        work_id = self.pick_request(data, *phases)
        if work_id is not None:
            self.end_request(work_id, how)

    @stateful.rule(data=st.data(), repeat=st.booleans())
    def fail(self, data, repeat):
        work_id = self.pick_request(data, 'prefill', 'transfer', 'decode')
        if work_id is None:
            return
        at = stage.Stage(self.phase[work_id])
        runner_id, _ = self.reservations.pop(work_id, ('p0', 0))
        if at is stage.Stage.PREFILL:
            runner_id = 'p0'
        self.failures.add(work_id)
        # After a failed transfer the result is sent to another runner or
        # the prompt is prefilled again; the next action shows which.
        self.phase[work_id] = 'queued'
        self.policy.on_failed(work_id, at, runner_id, self.now_s, repeat)
        if at is stage.Stage.TRANSFER and repeat:
            self.phase[work_id] = 'prefilled'
            self.accept_retry(work_id)
            return
        self.execute_actions()

    def accept_retry(self, work_id):
        """Accept a second transfer or a second prefill."""
        todo = self.policy.actions(self.now_s)
        for item in todo:
            if item.work_id == work_id:
                if isinstance(item, action.StartPrefill):
                    self.phase[work_id] = 'queued'
        self.execute(todo)

    def execute(self, todo):
        policy = self.policy
        batches = [todo]

        class Once:
            def actions(self, now_s):
                return batches.pop() if batches else policy.actions(now_s)

            def on_end(self, *args):
                policy.on_end(*args)

        self.policy = Once()
        try:
            self.execute_actions()
        finally:
            self.policy = policy

    @stateful.rule(data=st.data())
    def denied(self, data):
        work_id = self.pick_request(data, 'transfer')
        # Only a runner that is still present can deny a reservation.
        if work_id is not None and work_id in self.reservations:
            runner_id, _ = self.reservations.pop(work_id)
            self.phase[work_id] = 'prefilled'
            self.policy.on_denied(work_id, runner_id, 0, self.now_s)
            self.execute_actions()

    @stateful.rule(step_s=st.sampled_from([0.001, 0.02, 0.3, 2.0]))
    def pass_time(self, step_s):
        self.now_s += step_s
        # A prompt whose result waited too long for a slot is prefilled
        # again.
        waiting = [w for w, at in self.phase.items() if at == 'prefilled']
        todo = self.policy.actions(self.now_s)
        for item in todo:
            if isinstance(item, action.StartPrefill):
                if item.work_id in waiting:
                    self.failures.add(item.work_id)
                    self.phase[item.work_id] = 'queued'
        self.execute(todo)

    @stateful.rule(runner_id=st.sampled_from(RUNNERS))
    def restart(self, runner_id):
        self.alive.discard(runner_id)
        self.policy.on_runner_gone(runner_id, self.now_s)
        for work_id, (at, _) in list(self.reservations.items()):
            if at == runner_id:
                self.reservations.pop(work_id)
        self.execute_actions()
        self.incarnations[runner_id] += 1
        self.alive.add(runner_id)
        self.policy.on_runner(
            facts(runner_id, self.incarnations[runner_id]), self.now_s
        )
        self.execute_actions()

    @stateful.invariant()
    def budgets_hold(self):
        if not hasattr(self, 'policy'):
            return
        assert self.policy.retry_tokens >= 0
        for state in self.policy.runners.values():
            assert len(state.reservations) <= SLOTS
            assert 0 <= state.reserved_bytes <= CAPACITY
            assert state.outstanding_prefill_s >= -1e-9

    def teardown(self):
        if not hasattr(self, 'policy'):
            return
        for work_id in list(self.phase):
            if work_id in self.phase:
                self.end_request(work_id, stage.Ending.CANCELLED)
        assert self.policy.idle, 'a reservation or count leaked'


TestPolicyMachine = PolicyMachine.TestCase
TestPolicyMachine.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=40
)


# Finding a failing example is enough; it need not be shrunk.
MUTANT_SETTINGS = hypothesis.settings(
    max_examples=1000,
    stateful_step_count=40,
    phases=(hypothesis.Phase.generate,),
    print_blob=False,
)


def _is_caught():
    with pytest.raises(AssertionError):
        stateful.run_state_machine_as_test(
            PolicyMachine, settings=MUTANT_SETTINGS
        )


def test_placement_that_ignores_memory_is_caught(monkeypatch):
    monkeypatch.setattr(
        runner_state.RunnerState, 'fits', lambda self, kv_bytes: True
    )
    _is_caught()


def test_slot_that_is_never_released_is_caught(monkeypatch):
    monkeypatch.setattr(
        full_policy.FullPolicy, '_release_decode', lambda self, job: None
    )
    _is_caught()
