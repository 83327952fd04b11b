"""Random events against an oracle that counts what runners hold."""

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
# Half of what a result surely lives.
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
    """No room twice, nothing expired or refused started, no leak."""

    def __init__(self):
        super().__init__()
        self.now_s = 0.0
        self.made = 0
        self.incarnations = dict.fromkeys(RUNNERS, 1)
        self.alive = set(RUNNERS)
        self.items = {}
        self.phase = {}
        self.held = {}
        self.prefilled_s = {}
        self.failures = set()

    @stateful.initialize(objective=st.sampled_from(policy_config.Objective))
    def start(self, objective):
        self.policy = full_policy.FullPolicy(
            config=policy_config.PolicyConfig(objective=objective)
        )
        for runner_id in RUNNERS:
            self.policy.on_runner(facts(runner_id), self.now_s)

    def pump(self):
        for todo in self.policy.actions(self.now_s):
            work_id = todo.work_id
            assert work_id in self.phase, 'action for work that is over'
            if isinstance(todo, action.GiveUp):
                assert todo.retry_after_s > 0
                self.forget(work_id, stage.Ending.FAILED)
                continue
            if isinstance(todo, action.StartPrefill):
                if self.phase[work_id] == 'prefilled':
                    # A prompt is read again only if nobody could take
                    # its result in time, or a transfer of it failed.
                    age_s = self.now_s - self.prefilled_s[work_id]
                    dead = age_s >= RESULT_AGE_S
                    assert dead or work_id in self.failures, 'dropped'
                    self.failures.add(work_id)
                else:
                    assert self.phase[work_id] == 'queued'
                if work_id not in self.failures:
                    due_s = self.items[work_id].first_token_by_s
                    assert self.now_s <= due_s, 'expired work started'
                self.phase[work_id] = 'prefill'
                if todo.decode_runner_id is not None:
                    self.take(todo.decode_runner_id, todo)
                continue
            assert self.phase[work_id] == 'prefilled'
            self.phase[work_id] = 'transfer'
            self.take(todo.runner_id, todo)

    def take(self, runner_id, todo):
        here, _ = self.held.get(todo.work_id, (runner_id, 0))
        if here not in self.alive:
            here = runner_id
        assert here == runner_id, 'room held at two runners'
        self.held[todo.work_id] = (runner_id, todo.kv_bytes)
        sizes = [size for at, size in self.held.values() if at == runner_id]
        assert len(sizes) <= SLOTS, 'a slot granted twice'
        assert sum(sizes) <= CAPACITY, 'bytes granted twice'

    def forget(self, work_id, how):
        self.held.pop(work_id, None)
        del self.phase[work_id]
        self.policy.on_end(work_id, how, self.now_s)
        self.pump()

    def some(self, data, *phases):
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
        self.made += 1
        item = work.Work(
            work_id=f'w{self.made}',
            team=team,
            model='m',
            prompt_tokens=tokens,
            max_tokens=100,
            arrived_s=self.now_s,
            first_token_by_s=self.now_s + slack_s,
            token_gap_s=0.03,
            key=f'k{self.made}',
        )
        self.items[item.work_id] = item
        self.phase[item.work_id] = 'queued'
        self.policy.offer(item, self.now_s)
        self.pump()

    @stateful.rule(count=st.integers(2, 5))
    def big_ones_to_their_decode(self, count):
        """Several long dossiers at once, read and sent on at once."""
        before = set(self.phase)
        for _ in range(count):
            self.offer(tokens=2400, team='a', slack_s=3.0)
        for work_id in sorted(set(self.phase) - before):
            if self.phase.get(work_id) != 'prefill':
                continue
            self.phase[work_id] = 'prefilled'
            self.prefilled_s[work_id] = self.now_s
            self.policy.on_prefill_done(work_id, 0, self.now_s)
            self.pump()

    @stateful.rule(data=st.data())
    def prefilled(self, data):
        work_id = self.some(data, 'prefill')
        if work_id is not None:
            self.phase[work_id] = 'prefilled'
            self.prefilled_s[work_id] = self.now_s
            self.policy.on_prefill_done(work_id, 0, self.now_s)
            self.pump()

    @stateful.rule(data=st.data())
    def moved(self, data):
        work_id = self.some(data, 'transfer')
        if work_id is not None:
            self.phase[work_id] = 'decode'
            self.policy.on_transfer_done(work_id, self.now_s)
            self.policy.on_tokens(work_id, 1, self.now_s)
            self.failures.add(work_id)
            self.pump()

    @stateful.rule(data=st.data(), how=st.sampled_from(stage.Ending))
    def end(self, data, how):
        phases = ('queued', 'prefill', 'prefilled', 'transfer', 'decode')
        if how is stage.Ending.COMPLETED:
            phases = ('decode',)
        work_id = self.some(data, *phases)
        if work_id is not None:
            self.forget(work_id, how)

    @stateful.rule(data=st.data(), repeat=st.booleans())
    def fail(self, data, repeat):
        work_id = self.some(data, 'prefill', 'transfer', 'decode')
        if work_id is None:
            return
        at = stage.Stage(self.phase[work_id])
        runner_id, _ = self.held.pop(work_id, ('p0', 0))
        if at is stage.Stage.PREFILL:
            runner_id = 'p0'
        self.failures.add(work_id)
        # A transfer that failed may be sent elsewhere or read again;
        # the next action tells which.
        self.phase[work_id] = 'queued'
        self.policy.on_failed(work_id, at, runner_id, self.now_s, repeat)
        if at is stage.Stage.TRANSFER and repeat:
            self.phase[work_id] = 'prefilled'
            self.again(work_id)
            return
        self.pump()

    def again(self, work_id):
        """Accept either way on after a failed transfer."""
        todo = self.policy.actions(self.now_s)
        for item in todo:
            if item.work_id == work_id:
                if isinstance(item, action.StartPrefill):
                    self.phase[work_id] = 'queued'
        self.replay(todo)

    def replay(self, todo):
        policy = self.policy
        batches = [todo]

        class Once:
            def actions(self, now_s):
                return batches.pop() if batches else policy.actions(now_s)

            def on_end(self, *args):
                policy.on_end(*args)

        self.policy = Once()
        try:
            self.pump()
        finally:
            self.policy = policy

    @stateful.rule(data=st.data())
    def denied(self, data):
        work_id = self.some(data, 'transfer')
        # Only a runner that is still there can be without room.
        if work_id is not None and work_id in self.held:
            runner_id, _ = self.held.pop(work_id)
            self.phase[work_id] = 'prefilled'
            self.policy.on_denied(work_id, runner_id, 0, self.now_s)
            self.pump()

    @stateful.rule(step_s=st.sampled_from([0.001, 0.02, 0.3, 2.0]))
    def pass_time(self, step_s):
        self.now_s += step_s
        # A result that waited too long for a slot is read again.
        waiting = [w for w, at in self.phase.items() if at == 'prefilled']
        todo = self.policy.actions(self.now_s)
        for item in todo:
            if isinstance(item, action.StartPrefill):
                if item.work_id in waiting:
                    self.failures.add(item.work_id)
                    self.phase[item.work_id] = 'queued'
        self.replay(todo)

    @stateful.rule(runner_id=st.sampled_from(RUNNERS))
    def restart(self, runner_id):
        self.alive.discard(runner_id)
        self.policy.on_runner_gone(runner_id, self.now_s)
        for work_id, (at, _) in list(self.held.items()):
            if at == runner_id:
                self.held.pop(work_id)
        self.pump()
        self.incarnations[runner_id] += 1
        self.alive.add(runner_id)
        self.policy.on_runner(
            facts(runner_id, self.incarnations[runner_id]), self.now_s
        )
        self.pump()

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
                self.forget(work_id, stage.Ending.CANCELLED)
        assert self.policy.idle, 'something leaked'


TestPolicyMachine = PolicyMachine.TestCase
TestPolicyMachine.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=40
)


# A mutant need only be found, not shrunk.
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


def test_placement_without_a_look_at_memory_is_caught(monkeypatch):
    monkeypatch.setattr(
        runner_state.RunnerState, 'fits', lambda self, kv_bytes: True
    )
    _is_caught()


def test_slot_that_is_never_given_back_is_caught(monkeypatch):
    monkeypatch.setattr(
        full_policy.FullPolicy, '_release_decode', lambda self, job: None
    )
    _is_caught()
