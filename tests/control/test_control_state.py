"""Claims, fences and manifests, compared with a model made of dicts."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from limpetroute.control import commands
from limpetroute.control import control_state
from limpetroute.control import manifest_store
from limpetroute.control import results

MAX_BYTES = 20_000
KEYS = st.integers(0, 8).map('key-{}'.format)
TOKENS = st.integers(0, 40).map('token-{}'.format)


class ClaimMachine(stateful.RuleBasedStateMachine):
    """Claims, lost responses, withdrawals, outcomes and restarts.

    ``held`` has, for each key, the token that may make the call: its claim
    was granted and not withdrawn.
    """

    def __init__(self):
        super().__init__()
        self.state = self.empty()
        self.index = 0
        self.held = {}
        self.withdrawn = set()
        self.outcomes = {}
        self.fences = {}
        self.numbers = {}

    def empty(self):
        return control_state.ControlState(max_claim_bytes=MAX_BYTES)

    def apply(self, command):
        self.index += 1
        again = commands.decode(commands.encode(command))
        assert again == command
        return self.state.apply(again, self.index)

    @stateful.rule(key=KEYS, token=TOKENS, late=st.booleans())
    def claim(self, key, token, late):
        del late
        got = self.apply(
            commands.MakeClaim(
                team='t',
                key=key,
                body_digest='d',
                holder='h',
                token=token,
                at_s=float(self.index),
            )
        )
        if isinstance(got, results.Granted):
            assert token not in self.withdrawn
            assert self.held.setdefault(key, token) == token
            assert key not in self.outcomes
            return
        if isinstance(got, results.Found):
            assert got.status == self.outcomes.get(key, 0)
            assert key in self.held
            return
        assert token in self.withdrawn or len(self.held) > 8

    @stateful.rule(key=KEYS, token=TOKENS)
    def withdraw(self, key, token):
        # Holders withdraw only tokens whose call they did not send.
        if key in self.outcomes and self.held[key] == token:
            return
        self.apply(
            commands.WithdrawClaim(
                team='t', key=key, token=token, at_s=float(self.index)
            )
        )
        self.withdrawn.add(token)
        if self.held.get(key) == token:
            del self.held[key]

    @stateful.rule(key=KEYS, status=st.sampled_from([200, 500]))
    def settle(self, key, status):
        got = self.apply(
            commands.SettleClaim(
                team='t',
                key=key,
                status=status,
                body='x' * 50,
                at_s=float(self.index),
            )
        )
        assert got.known is (key in self.held)
        if key in self.held:
            self.outcomes.setdefault(key, status)

    @stateful.rule(name=st.sampled_from(['r1', 'r2']))
    def fence(self, name):
        got = self.apply(commands.NextFence(name=name))
        assert got.fence == self.fences.get(name, 0) + 1
        self.fences[name] = got.fence

    @stateful.rule(number=st.integers(1, 6), digest=st.sampled_from('ab'))
    def submit(self, number, digest):
        got = self.apply(
            commands.SubmitManifest(
                number=number, digest=digest, sender='s', text='{}'
            )
        )
        newest = max(self.numbers, default=0)
        if number < newest:
            assert isinstance(got, manifest_store.Stale)
            return
        winner = self.numbers.setdefault(number, digest)
        accepted = isinstance(got, manifest_store.Accepted)
        assert accepted is (winner == digest)

    @stateful.rule()
    def restart_from_snapshot(self):
        data = self.state.dump()
        used = self.state.claims.used_bytes
        self.state = self.empty()
        self.state.load(data)
        assert self.state.dump() == data
        assert self.state.claims.used_bytes == used

    @stateful.invariant()
    def memory_is_bounded_and_nothing_forgotten(self):
        claims = self.state.claims
        assert len(claims) == len(self.held)
        assert claims.unsettled == len(self.held) - len(self.outcomes)
        if not self.held:
            assert claims.used_bytes == 0


ClaimMachine.TestCase.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=40, derandomize=True, deadline=None
)
TestClaims = ClaimMachine.TestCase


def _claim(state, number, at_s=0.0):
    return state.apply(
        commands.MakeClaim(
            team='t',
            key=f'k{number}',
            body_digest='d',
            holder='h',
            token=f'token-{number}',
            at_s=at_s,
        ),
        number,
    )


def test_full_claims_are_refused_and_old_outcomes_forgotten():
    state = control_state.ControlState(max_claim_bytes=MAX_BYTES)
    granted = 0
    while isinstance(_claim(state, granted + 1), results.Granted):
        granted += 1
    assert 10 < granted < 40
    assert state.claims.used_bytes <= MAX_BYTES
    state.apply(
        commands.SettleClaim(
            team='t', key='k1', status=200, body='', at_s=5.0
        ),
        100,
    )
    state.apply(
        commands.ForgetOld(settled_before_s=6.0, void_before_s=6.0), 101
    )
    assert len(state.claims) == granted - 1
    assert isinstance(_claim(state, granted + 2), results.Granted)
